package logging

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncQueue is the number of lines that wait for the output.
	asyncQueue = 512
	// asyncPerSecond and asyncBurst bound the lines of a process, so that an
	// overload that refuses every request costs no more in logs than this.
	asyncPerSecond = 100
	asyncBurst     = 400
	// detailReserve is the part of the burst that details leave to other lines: one request
	// may have several, and one line that tells of its end.
	detailReserve = asyncBurst / 2
	// flushTime bounds the wait for an output that takes nothing when the process ends.
	flushTime = 200 * time.Millisecond
)

// Async is a writer that never blocks: lines wait in a bounded queue, and those
// that find it full, or that come faster than the bound, are dropped and
// counted.
type Async struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	done    chan struct{}
	writing chan struct{}
}

// NewAsync returns a writer to w. Close ends it.
func NewAsync(w io.Writer) *Async {
	a := &Async{
		lines:   make(chan []byte, asyncQueue),
		limit:   rate.NewLimiter(asyncPerSecond, asyncBurst),
		done:    make(chan struct{}),
		writing: make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write implements io.Writer. It keeps a copy of the line.
func (a *Async) Write(line []byte) (int, error) {
	if !a.limit.AllowN(time.Now(), 1) {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Details returns a writer to the same output for lines that others go before.
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

// Dropped returns the number of lines that were not written so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// run writes until Close.
func (a *Async) run(w io.Writer) {
	defer close(a.writing)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report it
		case <-a.done:
			a.flush(w)
			return
		}
	}
}

// flush writes what waits.
func (a *Async) flush(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report it
		default:
			return
		}
	}
}

// Close writes the lines that wait, as far as the output takes them in flushTime, and ends
// the writer. Lines that come later are dropped.
func (a *Async) Close() {
	close(a.done)
	select {
	case <-a.writing:
	case <-time.After(flushTime):
	}
}
