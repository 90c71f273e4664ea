package forward

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Refusal is a response that does not come from a backend server but is created
// here in its place. It implements error.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// Reason is the machine-readable reason.
	Reason outcome.Reason
	// Detail is a description for people.
	Detail string
	// RetryAfter is the minimum delay before a retry. It is sent in whole
	// seconds, rounded up, at least one, with jitter added.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + " (" + string(r.Reason) + "): " + r.Detail
}

// NotRun returns the refusal of a request that certainly was not run.
func NotRun(reason outcome.Reason, detail string) *Refusal {
	return &Refusal{Outcome: outcome.NotRun, Reason: reason, Detail: detail}
}

// Unknown returns the refusal for a request that may have run.
func Unknown(reason outcome.Reason, detail string) *Refusal {
	return &Refusal{Outcome: outcome.Unknown, Reason: reason, Detail: detail}
}

// ConnectionClosing returns the response that a server sends on an idle connection before it closes the
// connection. A client whose request crosses the close thus learns that it has not run: nothing is read
// from the connection any more. HTTP has the status 408 (Request Timeout) for it.
func ConnectionClosing() []byte {
	return NotRun(outcome.ReasonDraining, "the connection was idle and has been closed").bytes(http.StatusRequestTimeout)
}

// Status returns the HTTP status of a refusal.
func (r *Refusal) Status() int {
	switch r.Reason {
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome.ReasonInProgress, outcome.ReasonOutcomeLost, outcome.ReasonAnswerNotKept:
		return http.StatusConflict
	case outcome.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	}
	if r.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	switch r.Reason {
	case outcome.ReasonRateLimited, outcome.ReasonConcurrency:
		return http.StatusTooManyRequests
	case outcome.ReasonNoOrganisation, outcome.ReasonNoRoute:
		return http.StatusNotFound
	case outcome.ReasonWrongService:
		return http.StatusMisdirectedRequest
	case outcome.ReasonLoop:
		return http.StatusLoopDetected
	case outcome.ReasonMalformed:
		return http.StatusBadRequest
	case outcome.ReasonTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Detail  string          `json:"detail"`
}

// Write sends the refusal as the response.
func (r *Refusal) Write(w http.ResponseWriter) {
	b := r.fill(w.Header())
	w.WriteHeader(r.Status())
	_, _ = w.Write(b) // fails if the caller has disconnected, which needs no report
}

// Bytes returns the refusal as an HTTP/1.1 response after which the connection is closed. It is for
// connections that no HTTP server serves, or none serves any more.
func (r *Refusal) Bytes() []byte { return r.bytes(r.Status()) }

func (r *Refusal) bytes(status int) []byte {
	resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	b := r.fill(resp.Header)
	resp.ContentLength, resp.Body = int64(len(b)), io.NopCloser(bytes.NewReader(b))
	var out bytes.Buffer
	if err := resp.Write(&out); err != nil {
		panic(err) // writing to memory doesn't fail
	}
	return out.Bytes()
}

// fill sets the headers of the response and returns its body.
func (r *Refusal) fill(h http.Header) []byte {
	b, err := json.Marshal(refusalBody{Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(outcome.HeaderOutcome, string(r.Outcome))
	h.Set(outcome.HeaderReason, string(r.Reason))
	if r.Outcome == outcome.NotRun || r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	return b
}

// retrySeconds returns d in whole seconds, rounded up, plus a jitter of up to
// about half of it, so that refused callers don't all retry at the same time.
func retrySeconds(d time.Duration) int {
	s := max(1, int((d+time.Second-1)/time.Second))
	return s + rand.IntN(s/2+2)
}
