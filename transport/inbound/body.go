package inbound

import (
	"errors"
	"io"
	"sync"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// slotBody is a backend server's response body. Its end gives the slot back.
type slotBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.done)
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}

// wasSent reports whether a failed request may have reached its receiver.
func wasSent(err error) bool {
	var send *forward.SendError
	return !errors.As(err, &send) || send.Sent
}
