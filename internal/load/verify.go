package load

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Label says how a request ended for its caller.
type Label string

// The labels. The first three are the outcomes that a response names.
const (
	// LabelAnswered is a whole answer.
	LabelAnswered = Label(outcome.Answered)
	// LabelNotRun is a refusal that promises that nothing ran.
	LabelNotRun = Label(outcome.NotRun)
	// LabelUnknown is a response that says that the request may have run.
	LabelUnknown = Label(outcome.Unknown)
	// LabelCut is a response whose body broke off visibly.
	LabelCut Label = "cut"
	// LabelFailed is a request without a response.
	LabelFailed Label = "failed"
	// LabelTimeout is a request whose response did not come in time.
	LabelTimeout Label = "timeout"
)

// labels lists all labels in the order of the report.
var labels = []Label{LabelAnswered, LabelNotRun, LabelUnknown, LabelCut, LabelFailed, LabelTimeout}

// Breach names a broken promise.
type Breach string

// The breaches.
const (
	// BreachCrossed is an answer that belongs to another request.
	BreachCrossed Breach = "crossed-answer"
	// BreachCut is a cut answer that was passed as a whole one.
	BreachCut Breach = "cut-answer-passed-as-whole"
	// BreachNoOutcome is a response that names no outcome.
	BreachNoOutcome Breach = "no-outcome"
	// BreachRanTwice is a key that ran more than once.
	BreachRanTwice Breach = "key-ran-more-than-once"
	// BreachNotRunRan is a request that ran though its caller was told that
	// it did not.
	BreachNotRunRan Breach = "not-run-was-run"
)

// Violation is one broken promise.
type Violation struct {
	// Breach names the promise.
	Breach Breach `json:"breach"`
	// Request is the X-Request-Id, or the Idempotency-Key of BreachRanTwice.
	Request string `json:"request"`
	// Detail says what was seen.
	Detail string `json:"detail"`
}

// Headers of the stand-in of the backend server.
const (
	headerRequestID = "X-Request-Id"
	headerShed      = "X-Shed"
)

// sent is what the caller knows of a request that it sent.
type sent struct {
	id   string
	key  string
	path string
	body string
	// direct says that it went to a backend server, not through the mesh.
	direct bool
	// older says that the older system answers.
	older bool
}

// echo is the answer of the stand-in of the backend server.
type echo struct {
	ID   string `json:"id"`
	Path string `json:"path"`
	Echo string `json:"echo"`
}

// seen is what came of one request.
type seen struct {
	label      Label
	reason     string
	replayed   bool
	retryAfter time.Duration
	violation  *Violation
}

// judge tells how a request ended that got a response with a readable body.
func judge(s sent, status int, h http.Header, body []byte) seen {
	v := seen{
		label:      label(s, status, h),
		reason:     h.Get(outcome.HeaderReason),
		replayed:   h.Get(outcome.HeaderReplayed) != "",
		retryAfter: retryAfter(h),
	}
	if v.label == "" {
		v.label = LabelUnknown
		v.violation = &Violation{BreachNoOutcome, s.id, "status " + strconv.Itoa(status)}
		return v
	}
	if v.label == LabelAnswered && status == http.StatusOK {
		v.violation = compare(s, v.replayed, body)
	}
	return v
}

// label returns the outcome that a response names; empty when it names none.
func label(s sent, status int, h http.Header) Label {
	if s.direct || s.older {
		if h.Get(headerShed) != "" {
			return LabelNotRun
		}
		if status == http.StatusOK {
			return LabelAnswered
		}
		return LabelUnknown
	}
	switch o := outcome.Outcome(h.Get(outcome.HeaderOutcome)); o {
	case outcome.Answered, outcome.NotRun, outcome.Unknown:
		return Label(o)
	}
	return ""
}

// compare checks that a whole answer is the one of the request. A replayed
// answer carries the id of the request that ran, but the same body.
func compare(s sent, replayed bool, body []byte) *Violation {
	var got echo
	if err := json.Unmarshal(body, &got); err != nil {
		return &Violation{BreachCut, s.id, err.Error()}
	}
	if got.Path != s.path || got.Echo != s.body {
		return &Violation{BreachCrossed, s.id, "answer of " + got.ID + " for " + got.Path}
	}
	if got.ID != s.id && !replayed {
		return &Violation{BreachCrossed, s.id, "answer of " + got.ID}
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
