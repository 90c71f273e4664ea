package inbound

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// CutError reports a response that could not be relayed completely.
type CutError struct {
	// Received is the number of bytes of the body that were read from the backend server.
	Received int64
	// Length is the length of the complete body in bytes; -1 if it isn't known.
	Length int64
	// Err is the cause: a *forward.TruncatedError if the backend server's connection
	// failed, a *forward.CallerError if writing to the entry node failed.
	Err error
}

// Error implements error.
func (e *CutError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// relay relays a response to the entry node. pacer limits the rate; nil sends without a
// limit. If the request's context is a *forward.Progress, the response is its own. The error is a
// *CutError.
func relay(w http.ResponseWriter, req *http.Request, resp *http.Response, pacer forward.Pacer) error {
	length := resp.ContentLength
	counted := &forward.CountedBody{ReadCloser: resp.Body}
	resp.Body = counted
	if pacer != nil {
		resp.Body = forward.Paced(req.Context(), counted, pacer)
	}
	if p, ok := req.Context().(*forward.Progress); ok {
		resp.Body = p.Body(resp.Body)
	}
	err := forward.Relay(w, resp)
	if err == nil {
		return nil
	}
	if left := req.Context().Err(); left != nil {
		err = &forward.CallerError{Err: left} // the end of the context made the read fail as well
	}
	return &CutError{Received: counted.Received, Length: length, Err: err}
}

// logCut logs a response that was not relayed completely. h are the headers of the request
// as it arrived.
func (g *Gate) logCut(h http.Header, instance string, err error) {
	var cut *CutError
	if !errors.As(err, &cut) {
		return
	}
	_ = g.cfg.Details.Log("event", "gate_answer_cut", "request", g.cfg.Dialect.RequestID(h), "instance", instance,
		"received", cut.Received, "length", cut.Length, "err", cut.Err)
}
