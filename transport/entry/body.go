package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// bufferBody reads a body of known length up to MaxReplayBody before anything is sent
// to a gate, so that it can be sent again and a slow caller doesn't occupy a slot of the
// gate. Other bodies are streamed; they are sent again only if none of the stream was
// read.
func (x *exchange) bufferBody() *forward.Refusal {
	r := x.r
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		x.buffered = true
		return nil
	case r.ContentLength < 0, r.Header["Expect"] != nil: // with Expect, the backend server decides
		x.stream = forward.NewStreamBody(x.w, r)
		return nil
	case r.ContentLength > x.p.cfg.MaxReplayBody:
		return x.bufferBodyStart()
	}
	x.body = make([]byte, r.ContentLength)
	x.buffered = true
	return x.readBody()
}

// bufferBodyStart reads the beginning of a streamed body, as many bytes as the
// request's fingerprint covers.
func (x *exchange) bufferBodyStart() *forward.Refusal {
	x.body = make([]byte, min(x.r.ContentLength, forward.FingerprintBytes))
	if refusal := x.readBody(); refusal != nil {
		return refusal
	}
	x.stream = forward.ResumeStreamBody(x.w, x.r, x.body)
	return nil
}

// readBody fills x.body from the caller's body, or returns a refusal if the body does
// not arrive before the deadline.
func (x *exchange) readBody() *forward.Refusal {
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.plan.deadline) // if unsupported, only the caller can end the read
	if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
		return x.incompleteBody(err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // clearing fails only where setting did
	return nil
}

// incompleteBody returns the refusal for a body that could not be read whole.
func (x *exchange) incompleteBody(err error) *forward.Refusal {
	if isTimeout(err) {
		return x.p.notRun(outcome.ReasonDeadline, "the body did not arrive before the deadline")
	}
	return x.p.notRun(outcome.ReasonCancelled, "the body did not arrive whole")
}
