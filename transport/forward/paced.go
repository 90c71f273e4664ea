package forward

import (
	"context"
	"io"
	"time"
)

// Pacer limits the rate at which a body is sent. *pace.Reservation implements it.
type Pacer interface {
	// Piece returns how long to wait before sending the given number of bytes.
	Piece(now time.Time, bytes int) time.Duration
}

const (
	// PieceBytes is the maximum size of a piece of a paced body, in bytes. On the
	// users' slowest links, 7.5 Mbit/s, one piece delays a small response by 9 ms.
	PieceBytes = 8 << 10
	// minPieceWait is the shortest wait that is worth a timer. On fast links
	// several pieces are therefore sent at once.
	minPieceWait = 2 * time.Millisecond
)

// Paced returns a body that can be read no faster than p allows. A read that
// waits fails when ctx ends.
func Paced(ctx context.Context, body io.ReadCloser, p Pacer) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, pacer: p}
}

// pacedBody is the body that Paced returns.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	pacer Pacer
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), PieceBytes)])
	if n == 0 {
		return n, err
	}
	wait := b.pacer.Piece(time.Now(), n)
	if wait < minPieceWait {
		return n, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return n, err
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}
