package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// slotBody is the response body of a backend server. The slot of the request is released
// when the body ends or when ctx ends, whichever comes first, even if nobody reads the
// body.
type slotBody struct {
	io.ReadCloser
	ctx  context.Context
	stop func() bool // stops watching ctx; nil if ctx isn't watched
	// remaining is the number of bytes that are still to be read. It is negative if the
	// length of the body isn't known.
	remaining int64
	// serviceTime is the time spent waiting for the backend server: for the head of the
	// response, and in reads of the body. Time in which the receiver doesn't read isn't
	// counted.
	serviceTime time.Duration
	now         func() time.Time
	done        func(serviceTime time.Duration, how bodyEnd)
	// mu is held while the body is read or ended.
	mu     sync.Mutex
	ended  bool
	ctxErr error // the error of ctx, if the body ended incomplete because of it
}

// maxUnwatched is the largest body of known length that isn't watched, in bytes. Such a
// body is read in one piece, so a slow receiver can't delay its end.
const maxUnwatched = forward.PieceBytes

// watch makes the body end when its context ends.
func (b *slotBody) watch() {
	if b.remaining >= 0 && b.remaining <= maxUnwatched {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop = context.AfterFunc(b.ctx, b.expire)
}

// expire ends the body. It closes the connection to a backend server that is still sending.
func (b *slotBody) expire() {
	_ = b.ReadCloser.Close() // a concurrent Read fails and records how the body ended
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(bodyAbandoned)
}

// bodyEnd is the way in which a response body ended.
type bodyEnd uint8

// The ways in which a body ends.
const (
	// bodyComplete means that the body was read to its end.
	bodyComplete bodyEnd = iota
	// bodyTruncated means that a read failed before the end.
	bodyTruncated
	// bodyAbandoned means that the body was closed before its end.
	bodyAbandoned
)

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := b.now()
	n, err := b.ReadCloser.Read(p)
	b.serviceTime += b.now().Sub(began)
	b.remaining -= int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.end(bodyComplete)
	case err != nil:
		b.end(bodyTruncated)
		if b.ctxErr != nil {
			err = b.ctxErr
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		b.end(bodyComplete)
	}
	b.end(bodyAbandoned)
	return err
}

// end reports the first end of the body to done and ignores further ones. The caller holds
// mu.
func (b *slotBody) end(how bodyEnd) {
	if b.ended {
		return
	}
	b.ended = true
	if how != bodyComplete {
		b.ctxErr = b.ctx.Err()
	}
	if b.stop != nil {
		b.stop()
	}
	b.done(b.serviceTime, how)
}

// wasSent reports whether a failed request may have reached the backend server.
func wasSent(err error) bool {
	var send *forward.SendError
	return !errors.As(err, &send) || send.Sent
}

// recordBodyEnd records the result of a run whose response body has ended, for the
// roll-out's meter and for the detection of crashes.
func (g *Gate) recordBodyEnd(req *http.Request, c call, sent time.Time, serviceTime time.Duration, status int, how bodyEnd) {
	now := g.cfg.Now()
	broken := how == bodyTruncated && req.Context().Err() == nil && now.Before(c.Deadline)
	switch {
	case broken, how == bodyComplete && forward.FailedStatus(status):
		g.cfg.Meter.Failed(c.Work)
	case how == bodyComplete:
		g.cfg.Meter.Answered(c.Work, serviceTime, now.Before(c.instance.WarmAt))
	}
	switch {
	case how == bodyComplete:
		g.crashes.Answered(c.run(sent), status)
	case broken:
		g.crashes.ConnectionLost(c.run(sent))
	default:
		g.crashes.Abandoned(c.run(sent))
	}
}
