package forward

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Refusal is an answer that doesn't come from a backend server. It is an error
// so that it can be returned as one.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// Reason is for programs.
	Reason outcome.Reason
	// Detail is for people.
	Detail string
	// RetryAfter is when to come back at the earliest; it is rounded up to
	// whole seconds, at least one, and jittered.
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

// Unknown returns the answer to a request that may have run.
func Unknown(reason outcome.Reason, detail string) *Refusal {
	return &Refusal{Outcome: outcome.Unknown, Reason: reason, Detail: detail}
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

type refusalBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Detail  string          `json:"detail"`
}

// Write answers with the refusal.
func (r *Refusal) Write(w http.ResponseWriter) {
	b, err := json.Marshal(refusalBody{Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(outcome.HeaderOutcome, string(r.Outcome))
	h.Set(outcome.HeaderReason, string(r.Reason))
	if r.Outcome == outcome.NotRun || r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(b) // the caller may be gone; there is nobody to tell
}

// retrySeconds rounds up to whole seconds and adds up to half as much again,
// so that refused callers don't come back at once together.
func retrySeconds(d time.Duration) int {
	s := max(1, int((d+time.Second-1)/time.Second))
	return s + rand.IntN(s/2+2)
}
