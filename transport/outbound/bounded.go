package outbound

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// boundedBody is a request body of unknown length that may not exceed a limit.
type boundedBody struct {
	io.ReadCloser
	remaining int64 // in bytes
	exceeded  atomic.Bool
}

// bodyLimitError is the error of reading a body beyond its limit.
type bodyLimitError struct{}

// Error implements error.
func (bodyLimitError) Error() string { return "request body too large" }

// boundBody returns the request with its body bounded to limit bytes if its length isn't known, and the
// body; nil where it needs no bound. r isn't changed, since the HTTP server uses it while the handler
// runs.
func boundBody(r *http.Request, limit int64) (*http.Request, *boundedBody) {
	if limit <= 0 || r.ContentLength >= 0 || r.Body == nil {
		return r, nil
	}
	b := &boundedBody{ReadCloser: r.Body, remaining: limit}
	bounded := *r
	bounded.Body = b
	return &bounded, b
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		b.exceeded.Store(true)
		return 0, bodyLimitError{}
	}
	return n, err
}

// tooLarge reports whether the body has exceeded its limit.
func (x *exchange) tooLarge() bool { return x.bounded != nil && x.bounded.exceeded.Load() }

// bodyRefusal returns the refusal of a request whose body can't be read. Nothing of it was sent.
func (x *exchange) bodyRefusal() *refusal {
	switch {
	case x.tooLarge():
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: outcome.ReasonTooLarge}
	case x.ctx.Err() != nil && x.r.Context().Err() == nil:
		return &refusal{status: http.StatusRequestTimeout, reason: outcome.ReasonDeadline}
	}
	return &refusal{status: http.StatusBadRequest, reason: outcome.ReasonCancelled}
}
