package forward

import (
	"context"
	"io"
	"time"
)

// Pacer returns how long to wait before a piece of a body is sent. *pace.Reservation
// is one.
type Pacer interface {
	Piece(now time.Time, bytes int) time.Duration
}

const (
	// PieceBytes is the size of the pieces of a paced body, in bytes: on the
	// users' slowest links, 7.5 Mbit/s, one holds up a small answer by 9 ms.
	PieceBytes = 8 << 10
	// pieceWait is the least wait that is worth a timer: pieces of fast links
	// go several at a time.
	pieceWait = 2 * time.Millisecond
)

// Paced returns a body that is read no faster than the pacer allows. Reading
// ends with ctx.
func Paced(ctx context.Context, body io.ReadCloser, p Pacer) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, pacer: p}
}

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
	if wait < pieceWait {
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
