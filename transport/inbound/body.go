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

// slotBody is a backend server's response body. Its end gives the slot back, as does the end of the
// time that its backend server has, whether or not it is read.
type slotBody struct {
	io.ReadCloser
	ctx  context.Context
	stop func() bool // ends the watch over ctx; nil without one
	// left is how much of the body is to come, in bytes; below 0 where it has no
	// length.
	left int64
	// took is how long the backend server was waited for: for its head, and in reads of the body.
	// The time in which nobody reads is its reader's.
	took time.Duration
	now  func() time.Time
	done func(took time.Duration, how bodyEnd)
	// using is held while the body is read or ended.
	using sync.Mutex
	ended bool
	late  error // that of ctx, where the body ended with it
}

// unwatchedBytes is the largest body of known length that isn't watched, in bytes: such a body is
// read at once, not as its receiver takes it.
const unwatchedBytes = forward.PieceBytes

// watch ends the body with its context.
func (b *slotBody) watch() {
	if b.left >= 0 && b.left <= unwatchedBytes {
		return
	}
	b.using.Lock()
	defer b.using.Unlock()
	b.stop = context.AfterFunc(b.ctx, b.expire)
}

// expire ends the body, and with it the connection to a backend server that still sends.
func (b *slotBody) expire() {
	_ = b.ReadCloser.Close() // a read under way fails, and tells how the body ended
	b.using.Lock()
	defer b.using.Unlock()
	b.end(bodyLeft)
}

// bodyEnd says how a response body ended.
type bodyEnd uint8

// The ways.
const (
	// bodyWhole is a body that was read to its end.
	bodyWhole bodyEnd = iota
	// bodyBroken is one that broke off.
	bodyBroken
	// bodyLeft is one that was closed before its end.
	bodyLeft
)

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	b.using.Lock()
	defer b.using.Unlock()
	began := b.now()
	n, err := b.ReadCloser.Read(p)
	b.took += b.now().Sub(began)
	b.left -= int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.end(bodyWhole)
	case err != nil:
		b.end(bodyBroken)
		if b.late != nil {
			err = b.late
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.using.Lock()
	defer b.using.Unlock()
	if b.left == 0 {
		b.end(bodyWhole)
	}
	b.end(bodyLeft)
	return err
}

// end tells the first end of the body. Its caller holds using.
func (b *slotBody) end(how bodyEnd) {
	if b.ended {
		return
	}
	b.ended = true
	if how != bodyWhole {
		b.late = b.ctx.Err()
	}
	if b.stop != nil {
		b.stop()
	}
	b.done(b.took, how)
}

// wasSent reports whether a failed request may have reached its receiver.
func wasSent(err error) bool {
	var send *forward.SendError
	return !errors.As(err, &send) || send.Sent
}

// bodyEnded tells how a run ended that the backend server has answered.
func (g *Gate) bodyEnded(req *http.Request, c call, sent time.Time, took time.Duration, status int, how bodyEnd) {
	now := g.cfg.Now()
	broken := how == bodyBroken && req.Context().Err() == nil && now.Before(c.Deadline)
	switch {
	case broken, how == bodyWhole && forward.FailedStatus(status):
		g.cfg.Meter.Failed(c.Work)
	case how == bodyWhole:
		g.cfg.Meter.Answered(c.Work, took, now.Before(c.instance.WarmAt))
	}
	switch {
	case how == bodyWhole:
		g.crashes.Answered(c.run(sent), status)
	case broken:
		g.crashes.Broken(c.run(sent))
	default:
		g.crashes.Left(c.run(sent))
	}
}
