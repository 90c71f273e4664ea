package forward

import "bytes"

// BufferedBody is a body that is held in memory. Client sends it together with the
// head of a request.
type BufferedBody struct{ bytes.Reader }

// NewBufferedBody returns a body that reads b, which must not be changed.
func NewBufferedBody(b []byte) *BufferedBody {
	body := new(BufferedBody)
	body.Reset(b)
	return body
}

// Close implements io.Closer.
func (*BufferedBody) Close() error { return nil }
