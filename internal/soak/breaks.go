package soak

import (
	"fmt"
	"slices"
)

// answeredWhole reports whether a backend server has written a whole answer.
func answeredWhole(ran []Arrival) bool {
	return slices.ContainsFunc(ran, func(a Arrival) bool { return !a.Whole.IsZero() })
}

// describeLost describes a request that ran and got no answer.
func describeLost(r *Request, ran []Arrival) string {
	said := fmt.Sprintf("%s (%s) to node %d, sent behind %s: got nothing after %v, head %v: %s", r.ID, r.Path, r.Node, r.First,
		r.Done.Sub(r.Sent), r.Headed, r.End)
	for _, a := range ran {
		if a.Whole.IsZero() {
			said += fmt.Sprintf("; ran at %s without a whole answer", a.Server)
			continue
		}
		said += fmt.Sprintf("; ran at %s, which had answered %v before", a.Server, r.Done.Sub(a.Whole))
	}
	return said
}

// onlyBreaksAt reports whether answers that broke off are all that disturbed a request beside
// planned work and faults of the store.
func (h *History) onlyBreaksAt(r *Request) bool {
	return !h.during(r, func(f Fault) bool { return !f.Planned() && !f.OfStore() && f != FaultBreakOff })
}

// checkBreaks checks what is lost beside answers that break off: nothing but requests whose
// own answer did so after its head, and those that reached no backend server.
func (h *History) checkBreaks(r *Request, ran []Arrival, found *report) {
	switch {
	case r.Status != 0 || len(ran) == 0:
	case answeredWhole(ran):
		found.add(CheckReady, "%s", describeLost(r, ran))
	case !r.Headed || !slices.ContainsFunc(ran, func(a Arrival) bool { return a.Breaks }):
		found.add(CheckBreaks, "%s", describeLost(r, ran))
	}
}

// checkKept checks that a request that was passed on got an answer, beside whatever disturbs
// other nodes.
func (h *History) checkKept(r *Request, ran []Arrival, found *report) {
	switch {
	case r.Status != 0 || len(ran) == 0 || r.GaveUp:
	case r.Headed && slices.ContainsFunc(ran, func(a Arrival) bool { return a.Breaks }):
	case h.killed(r):
	default:
		found.add(CheckKept, "%s", describeLost(r, ran))
	}
}

// killed reports whether a request's node was killed around it.
func (h *History) killed(r *Request) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool { return s.Fault == FaultKill && s.Node == r.Node && s.around(r) })
}
