package forward

import "bytes"

// KeptBody is a request body that is held in memory. It is sent together with the head.
type KeptBody struct{ bytes.Reader }

// NewKeptBody returns a body that reads b, which must not be changed.
func NewKeptBody(b []byte) *KeptBody {
	k := new(KeptBody)
	k.Reset(b)
	return k
}

// Close implements io.Closer.
func (*KeptBody) Close() error { return nil }
