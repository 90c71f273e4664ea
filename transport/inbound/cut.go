package inbound

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// CutError reports an answer that broke off.
type CutError struct {
	// Received is how much of the body was read to be passed on, in bytes.
	Received int64
	// Length is how long the body should be, in bytes; -1 where that isn't known.
	Length int64
	// Err is the cause: a *forward.TruncatedError where the backend server's side broke off, a
	// *forward.CallerError where the entry node can't be written to.
	Err error
}

// Error implements error.
func (e *CutError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// relay passes an answer on. The error is a *CutError. ticket paces the answer; nil sends it at
// once.
func relay(w http.ResponseWriter, req *http.Request, resp *http.Response, ticket forward.Pacer) error {
	length := resp.ContentLength
	counted := &forward.CountedBody{ReadCloser: resp.Body}
	resp.Body = counted
	if ticket != nil {
		resp.Body = forward.Paced(req.Context(), counted, ticket)
	}
	err := forward.Relay(w, resp)
	if err == nil {
		return nil
	}
	if left := req.Context().Err(); left != nil {
		err = &forward.CallerError{Err: left} // it has ended the reading too
	}
	return &CutError{Received: counted.Received, Length: length, Err: err}
}

// noteCut tells of an answer that broke off. h are the request's headers as they arrived.
func (g *Gate) noteCut(h http.Header, instance string, err error) {
	var cut *CutError
	if !errors.As(err, &cut) {
		return
	}
	_ = g.cfg.Details.Log("event", "gate_answer_cut", "request", g.cfg.Dialect.RequestID(h), "instance", instance,
		"received", cut.Received, "length", cut.Length, "err", cut.Err)
}
