package logging

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncQueue is the capacity, in lines, of the queue before the output.
	asyncQueue = 512
	// asyncPerSecond and asyncBurst limit the rate of log lines of a process, which
	// bounds the cost of logging in an overload that refuses every request.
	asyncPerSecond = 100
	asyncBurst     = 400
	// detailReserve is the number of burst tokens reserved for lines other than details:
	// a request may log several details, but only one line with its outcome.
	detailReserve = asyncBurst / 2
	// stateQueue, statePerSecond and stateBurst are the additional queue capacity and the rate
	// limit of the lines of State.
	stateQueue     = 128
	statePerSecond = 20
	stateBurst     = 100
	// flushTime limits how long Close waits for an output that blocks.
	flushTime = 200 * time.Millisecond
)

// Async is a writer that never blocks. Lines are buffered in a bounded queue; lines
// that exceed the rate limit, or arrive while the queue is full, are dropped and
// counted.
type Async struct {
	lines chan []byte
	limit *rate.Limiter
	// stateLimit limits the lines of State.
	stateLimit *rate.Limiter
	dropped    atomic.Uint64
	done       chan struct{}
	stopped    chan struct{}
}

// NewAsync returns a writer to w and starts its goroutine, which Close stops.
func NewAsync(w io.Writer) *Async {
	a := &Async{
		lines:      make(chan []byte, asyncQueue+stateQueue),
		limit:      rate.NewLimiter(asyncPerSecond, asyncBurst),
		stateLimit: rate.NewLimiter(statePerSecond, stateBurst),
		done:       make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write implements io.Writer. It enqueues a copy of the line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.limit.AllowN(time.Now(), 1) || len(a.lines) >= asyncQueue {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.enqueue(line)
	return len(line), nil
}

// enqueue adds a copy of a line to the queue, or drops it if the queue is full.
func (a *Async) enqueue(line []byte) {
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.dropped.Add(1)
	}
}

// State returns a writer to the same output for lines about the state of the process, such as
// the version of its configuration. They have a rate limit and a part of the queue of their own,
// so that lines about requests don't crowd them out in an overload.
func (a *Async) State() io.Writer { return stateWriter{a} }

type stateWriter struct{ to *Async }

// Write implements io.Writer.
func (s stateWriter) Write(line []byte) (int, error) {
	if s.to.stateLimit.Allow() {
		s.to.enqueue(line)
	} else {
		s.to.dropped.Add(1)
	}
	return len(line), nil
}

// Details returns a writer to the same output for low-priority lines: they are dropped
// while fewer than detailReserve tokens are left.
func (a *Async) Details() io.Writer { return detailWriter{a} }

type detailWriter struct{ to *Async }

// Write implements io.Writer.
func (d detailWriter) Write(line []byte) (int, error) {
	if d.to.limit.Tokens() < detailReserve {
		d.to.dropped.Add(1)
		return len(line), nil
	}
	return d.to.Write(line)
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// run writes queued lines to w until Close.
func (a *Async) run(w io.Writer) {
	defer close(a.stopped)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // a failed log write can't be reported anywhere
		case <-a.done:
			a.flush(w)
			return
		}
	}
}

// flush writes the lines left in the queue.
func (a *Async) flush(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // a failed log write can't be reported anywhere
		default:
			return
		}
	}
}

// Close stops the writer, and waits up to flushTime for the queued lines to be written.
// Lines that arrive later are dropped.
func (a *Async) Close() {
	close(a.done)
	select {
	case <-a.stopped:
	case <-time.After(flushTime):
	}
}
