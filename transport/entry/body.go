package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// keepBody reads a small body of known length before anything is sent, so
// that it can be sent again and a slow caller holds no slot of a gate. Other
// bodies are streamed and never sent again.
func (x *exchange) keepBody() *forward.Refusal {
	r := x.r
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		x.kept = true
		return nil
	case r.ContentLength < 0, r.Header["Expect"] != nil: // the backend server decides whether it wants the body
		x.stream = forward.NewStreamBody(x.w, r)
		return nil
	case r.ContentLength > x.p.cfg.MaxReplayBody:
		return x.beginBody()
	}
	x.body = make([]byte, r.ContentLength)
	x.kept = true
	return x.readBody()
}

// beginBody reads the beginning of a body that is passed on as it comes: its
// fingerprint covers so much.
func (x *exchange) beginBody() *forward.Refusal {
	x.body = make([]byte, min(x.r.ContentLength, forward.FingerprintBytes))
	if refusal := x.readBody(); refusal != nil {
		return refusal
	}
	x.stream = forward.ResumeStreamBody(x.w, x.r, x.body)
	return nil
}

// readBody fills x.body before the deadline.
func (x *exchange) readBody() *forward.Refusal {
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.plan.deadline) // without one, the caller's own end is waited for
	if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
		return x.cutBody(err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // it was set, so it can be cleared
	return nil
}

func (x *exchange) cutBody(err error) *forward.Refusal {
	if isTimeout(err) {
		return x.p.notRun(outcome.ReasonDeadline, "the body did not arrive before the deadline")
	}
	return x.p.notRun(outcome.ReasonCancelled, "the body did not arrive whole")
}
