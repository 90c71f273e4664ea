package forward

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// progressInterval is the interval at which a response past its deadline is checked.
	progressInterval = 20 * time.Millisecond
	// maxReadPause is how long nobody may have read a response past its deadline.
	maxReadPause = 100 * time.Millisecond
)

// DefaultResponseExtension is how long past its deadline a response that has begun may take. With the
// graces of gate and entry node it stays below the half second past a route's timeout after which
// callers count a request as unanswered.
const DefaultResponseExtension = 400 * time.Millisecond

// Progress is a context that ends at a deadline, or up to an extension later while the response to its
// request makes progress. Ending a response that has begun loses a request that has run, and with it the
// responses behind it on the caller's connection.
//
// A response makes progress while it is read: its sender is waited for, or has just sent something. One
// that its receiver doesn't take makes none.
type Progress struct {
	context.Context
	outer  *Progress // of the same request in the same process, or nil
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Time

	begun    atomic.Bool
	reading  atomic.Int32
	lastRead atomic.Int64 // Unix time in nanoseconds
	onRead   func(now time.Time)
}

// progressKey is the key of a context's Progress.
type progressKey struct{}

// NewProgress returns a context that ends with ctx, or at the deadline if no response has begun by then.
// End must be called.
func NewProgress(ctx context.Context, deadline time.Time, extension time.Duration) *Progress {
	p := &Progress{limit: deadline.Add(extension)}
	p.run(ctx, deadline)
	return p
}

// NewBegunProgress is NewProgress for a response that has begun, such as one that was read whole by the
// deadline or just after it.
func NewBegunProgress(ctx context.Context, deadline time.Time, extension time.Duration) *Progress {
	p := &Progress{limit: deadline.Add(extension)}
	p.lastRead.Store(time.Now().UnixNano())
	p.begun.Store(true)
	p.run(ctx, deadline)
	return p
}

// run starts the context.
func (p *Progress) run(ctx context.Context, deadline time.Time) {
	p.outer, _ = ctx.Value(progressKey{}).(*Progress)
	p.Context, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(time.Hour, p.expire)
	p.timer.Reset(time.Until(deadline)) // expire reads timer, and may run at once
}

// Value implements context.Context.
func (p *Progress) Value(key any) any {
	if key == (progressKey{}) {
		return p
	}
	return p.Context.Value(key)
}

// Err implements context.Context. It is context.DeadlineExceeded if the time is over.
func (p *Progress) Err() error {
	if p.Context.Err() == nil {
		return nil
	}
	return context.Cause(p.Context)
}

// End ends the context.
func (p *Progress) End() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// Body records that the response has begun, and returns its body. Reading it is progress.
func (p *Progress) Body(body io.ReadCloser) io.ReadCloser {
	for q := p; q != nil; q = q.outer {
		q.lastRead.Store(time.Now().UnixNano())
		q.begun.Store(true)
	}
	return &progressBody{body, p}
}

// OnRead makes the response's body call f after each read. It must be called before Body.
func (p *Progress) OnRead(f func(now time.Time)) { p.onRead = f }

// expire ends the context unless the response makes progress.
func (p *Progress) expire() {
	now := time.Now()
	if p.begun.Load() && now.Before(p.limit) && p.isRead(now) {
		p.timer.Reset(min(progressInterval, p.limit.Sub(now)))
		return
	}
	p.cancel(context.DeadlineExceeded)
}

// isRead reports whether the response is being read, or was until just now.
func (p *Progress) isRead(now time.Time) bool {
	return p.reading.Load() > 0 || now.Sub(time.Unix(0, p.lastRead.Load())) < maxReadPause
}

// progressBody is the body of a response with a Progress.
type progressBody struct {
	io.ReadCloser
	progress *Progress
}

// Read implements io.Reader.
func (b *progressBody) Read(buf []byte) (int, error) {
	for p := b.progress; p != nil; p = p.outer {
		p.reading.Add(1)
	}
	n, err := b.ReadCloser.Read(buf)
	now := time.Now()
	for p := b.progress; p != nil; p = p.outer {
		p.lastRead.Store(now.UnixNano())
		p.reading.Add(-1)
	}
	if f := b.progress.onRead; f != nil {
		f(now)
	}
	return n, err
}
