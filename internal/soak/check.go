package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Violation is one broken promise.
type Violation struct {
	// Check is the promise.
	Check Check
	// Detail says what was seen.
	Detail string
}

// Request is one request as its caller saw it.
type Request struct {
	// ID, Method and Path are the request's.
	ID, Method, Path string
	// Node is the number of the node that it was sent to.
	Node int
	// Service is the service beside that node.
	Service string
	// Idempotent says that it may run more than once.
	Idempotent bool
	// Key is what the caller showed; empty for none.
	Key string
	// BodyBytes is the size of its body.
	BodyBytes int
	// Wait is how long its caller waits.
	Wait time.Duration
	// Due is the shortest time after which a node may give up on it.
	Due time.Duration
	// Gap is the time before it is written, after the one before it was.
	Gap time.Duration
	// Closes says that its caller has asked for the end of the connection behind it.
	Closes bool
	// Left says that its caller left before an answer.
	Left bool
	// Behind says that it was sent behind another one that wasn't answered yet, and First is
	// the first of those sent behind one another.
	Behind bool
	First  string
	// Sent and Done are when it was sent and answered or given up, and Written when it was
	// written whole; zero where it wasn't.
	Sent, Written, Done time.Time
	// After is when its caller was told to come back.
	After time.Duration
	// GaveUp says that its caller waited no longer.
	GaveUp bool
	// End says how its connection ended without a whole answer.
	End string
	// Headed says that the head of an answer came.
	Headed bool
	// Status is the answer's; 0 without a whole one.
	Status int
	// Stamped says that a backend server has signed the answer.
	Stamped bool
	// Body is the answer's.
	Body string
	// Limited says that the answer states a limit, and Leaving that its backend server leaves.
	Limited, Leaving bool
}

// Arrival is one request as a backend server saw it.
type Arrival struct {
	// Server is the identifier of the backend server, and Born its start.
	Server string
	Born   int64
	// ID, Method and Path are the request's.
	ID, Method, Path string
	// Caller is the service where it is said to have begun.
	Caller string
	// Refused says that it was not run.
	Refused bool
	// Organisation is who is said to hold the caller's key, and Credentials what came of
	// the key itself.
	Organisation, Credentials string
	// Zone is the backend server's availability zone.
	Zone model.Zone
	// At is when it arrived, and Sent when its caller sent it, where a check asks for that.
	At, Sent time.Time
	// Work is how long it takes the backend server.
	Work time.Duration
	// Whole is when the backend server had written a whole answer; zero where it hadn't.
	Whole time.Time
	// Breaks says that the backend server broke its answer off.
	Breaks bool
}

// Stop is a node that was asked to stop.
type Stop struct {
	// Node is the number of the node, and At when it got SIGTERM.
	Node int
	At   time.Time
}

// Span is a time in which something was disturbed.
type Span struct {
	// From and To bound it.
	From, To time.Time
	// Fault is what it was.
	Fault Fault
	// Node is the number of the node that it struck.
	Node int
}

// History is all that a soak has seen.
type History struct {
	// Requests are those of callers.
	Requests []Request
	// Arrivals are those at backend servers.
	Arrivals []Arrival
	// Drained is when the drain of each start of a backend server was over, by startOf.
	Drained map[string]time.Time
	// Spans are the disturbances, and Stops the SIGTERMs among them.
	Spans []Span
	Stops []Stop
	// Keyed says that callers show keys.
	Keyed bool
	// Evacuations are the evacuations of zones that have ended.
	Evacuations []Evacuation
	// ColdSpans are the times in which each start of a backend server was cold, by startOf.
	ColdSpans map[string][]Span
	// Limits are the limits that each start of a backend server stated, by startOf, in order.
	Limits map[string][]LimitSpan
	// Accepted is when each version of the configuration was accepted, from the first.
	Accepted []time.Time
}

const (
	// drainMargin is added to the time to drain, for the machine's own delays.
	drainMargin = time.Second
	// calm is how long before a request, and up to its end, nothing but planned
	// work may be under way for it to count as cut by that.
	calm = 5 * time.Second
)

// largeSuffix and hugeSuffix end the paths of requests for an answer of about largeAnswer and
// hugeAnswer bytes. Half of a huge one is more than a node keeps where nothing stands behind it.
const (
	largeSuffix = "-large"
	largeAnswer = 60_000
	hugeSuffix  = "-huge"
	hugeAnswer  = 200_000
)

// notRun are the statuses that promise that the request was not run.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Violations returns the promises that the history breaks.
func (h *History) Violations() []Violation {
	var found report
	runs := h.runs(&found)
	for i := range h.Requests {
		r := &h.Requests[i]
		h.checkRequest(r, runs[r.ID], &found)
	}
	h.checkQuarantine(&found)
	h.checkKeys(&found)
	h.checkColdAndEvacuated(&found)
	h.checkStatements(runs, &found)
	return found
}

// report gathers violations.
type report []Violation

func (r *report) add(c Check, format string, args ...any) {
	*r = append(*r, Violation{Check: c, Detail: fmt.Sprintf(format, args...)})
}

// runs returns the runs of each request by its id, and checks what arrived at
// backend servers.
func (h *History) runs(found *report) map[string][]Arrival {
	sent := make(map[string]*Request, len(h.Requests))
	for i := range h.Requests {
		sent[h.Requests[i].ID] = &h.Requests[i]
	}
	runs := make(map[string][]Arrival)
	for _, a := range h.Arrivals {
		r := sent[a.ID]
		if r == nil || r.Method != a.Method || r.Path != a.Path || r.Service != a.Caller {
			found.add(CheckAsked, "%s got %s %s of %q from %q", a.Server, a.Method, a.Path, a.ID, a.Caller)
			continue
		}
		if end, drained := h.Drained[startOf(a.Server, a.Born)]; drained && a.At.After(end.Add(drainMargin)) {
			found.add(CheckDrain, "%s got %s %v after its drain", a.Server, a.ID, a.At.Sub(end))
		}
		if !a.Refused {
			runs[a.ID] = append(runs[a.ID], a)
		}
	}
	return runs
}

// checkRequest checks what a caller was told against the request's runs.
func (h *History) checkRequest(r *Request, ran []Arrival, found *report) {
	if !r.Idempotent && len(ran) > 1 {
		found.add(CheckOnce, "%s ran %d times", r.ID, len(ran))
	}
	if !r.Idempotent && len(ran) > 0 && slices.Contains(notRun, r.Status) && !r.Stamped {
		found.add(CheckNotRun, "%s was refused with %d and ran at %s", r.ID, r.Status, ran[0].Server)
	}
	if r.Status == http.StatusOK && !h.own(r, ran) {
		found.add(CheckWhole, "%s got %q, signed %v", r.ID, r.Body, r.Stamped)
	}
	h.checkLate(r, found)
	switch {
	case r.Left:
	case !h.disturbedAt(r):
		h.checkEnd(r, ran, found)
	case h.onlyBreaksAt(r):
		h.checkBreaks(r, ran, found)
	default:
		h.checkKept(r, ran, found)
	}
}

// own reports whether a success is the answer of one of the request's runs.
func (h *History) own(r *Request, ran []Arrival) bool {
	if !r.Stamped {
		return false
	}
	return slices.ContainsFunc(ran, func(a Arrival) bool { return r.Body == Answer(a.Server, r.Path) })
}

// Answer is the body with which a backend server answers.
func Answer(server, path string) string {
	said := server + " ran " + path
	bytes := 0
	switch {
	case strings.HasSuffix(path, largeSuffix):
		bytes = largeAnswer
	case strings.HasSuffix(path, hugeSuffix):
		bytes = hugeAnswer
	default:
		return said
	}
	return strings.Repeat(said+"\n", bytes/len(said))
}
