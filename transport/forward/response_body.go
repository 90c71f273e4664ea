package forward

import (
	"io"
	"net/http"
	"sync/atomic"
)

// responseBody is a response's body. Its end releases the connection.
type responseBody struct {
	trip  *roundTrip
	resp  *http.Response
	reuse bool
	ended atomic.Bool
	// unframed is set for a body whose length isn't known. received is the number of its bytes so
	// far.
	unframed bool
	received int64
}

// newResponseBody returns the body of resp, whose end releases the connection.
func newResponseBody(x *roundTrip, resp *http.Response) *responseBody {
	return &responseBody{trip: x, resp: resp, reuse: !resp.Close, unframed: resp.ContentLength < 0 && !IsEventStream(resp)}
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, b.after()
	}
	n, err := b.trip.body.Read(p)
	if limit := b.trip.client.cfg.MaxUnframedBody; b.unframed && limit > 0 && err == nil {
		if b.received += int64(n); b.received > limit {
			err = &BodySizeError{Limit: limit}
		}
	}
	if err == io.EOF {
		err = b.checkTrailers()
	}
	if err != nil && b.ended.CompareAndSwap(false, true) {
		b.trip.err = err
		b.trip.end(b.reuse && err == io.EOF)
	}
	return n, err
}

// checkTrailers returns the error of a body that has been read to its end: io.EOF if its trailers are valid.
func (b *responseBody) checkTrailers() error {
	if err := CheckNames(b.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// after returns the error of a read after the end.
func (b *responseBody) after() error {
	if b.trip.err != nil {
		return b.trip.err
	}
	return http.ErrBodyReadAfterClose
}

// Close implements io.Closer. If the body has not ended, it closes the connection.
func (b *responseBody) Close() error {
	if b.ended.CompareAndSwap(false, true) {
		b.trip.end(false)
	}
	return nil
}
