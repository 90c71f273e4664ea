package soak

import (
	"net/http"
	"slices"
	"time"
)

const (
	// lostTime is how long after it was written whole a request that goes nowhere may
	// still lose its connection.
	lostTime = 200 * time.Millisecond
	// noticeEnd is until when after SIGTERM a request may be sent that the node answers by
	// itself at the end of the grace time, and endAfter when that begins: its last sixth.
	noticeEnd = 3 * time.Second
	endAfter  = graceTime - graceTime/6
)

// checkEnd checks that a request got an answer, and that it is the backend server's where one
// is at work on it.
func (h *History) checkEnd(r *Request, ran []Arrival, found *report) {
	switch {
	case r.Status == 0 && answeredWhole(ran):
		found.add(CheckReady, "%s", describeLost(r, ran))
	case r.Status == 0 && len(ran) > 0:
		found.add(CheckPlanned, "%s", describeLost(r, ran))
	case r.Status == 0 && !r.Written.IsZero() && !r.Behind && r.Done.Sub(r.Written) > lostTime:
		found.add(CheckEnds, "%s to node %d got no answer for %v: %s", r.ID, r.Node, r.Done.Sub(r.Written), r.End)
	case replaces(r) && h.stopping(r) && underWay(r, ran) && !h.mayReplace(r):
		found.add(CheckPlanned, "%s to node %d got %d while it ran", r.ID, r.Node, r.Status)
	}
}

// replaces reports whether an answer is the node's own and doesn't say that the request was
// not run.
func replaces(r *Request) bool {
	return !r.Stamped && (r.Status == http.StatusBadGateway || r.Status == http.StatusGatewayTimeout)
}

// underWay reports whether a backend server was at work on a request as it was answered.
func underWay(r *Request, ran []Arrival) bool {
	return slices.ContainsFunc(ran, func(a Arrival) bool { return r.Done.Before(a.At.Add(a.Work)) })
}

// stopping reports whether a request's node had been asked to stop as it was answered.
func (h *History) stopping(r *Request) bool {
	return slices.ContainsFunc(h.Stops, func(s Stop) bool {
		return s.Node == r.Node && r.Done.After(s.At) && r.Done.Before(s.At.Add(graceTime+time.Second))
	})
}

// mayReplace reports whether a node may answer in place of a backend server: the request's time
// was over, or the node was at the end of its grace time and the request was sent before
// callers had to take notice.
func (h *History) mayReplace(r *Request) bool {
	if r.Done.Sub(r.Sent) >= r.due() {
		return true
	}
	return slices.ContainsFunc(h.Stops, func(s Stop) bool {
		return s.Node == r.Node && r.Sent.Before(s.At.Add(noticeEnd)) && !r.Done.Before(s.At.Add(endAfter))
	})
}

// storeDisturbedAt reports whether the store was disturbed around a request.
func (h *History) storeDisturbedAt(r *Request) bool {
	return h.during(r, func(f Fault) bool { return f.OfStore() })
}

// disturbedAt reports whether anything but planned work and faults of the store was under way
// around a request.
func (h *History) disturbedAt(r *Request) bool {
	return h.during(r, func(f Fault) bool { return !f.Planned() && !f.OfStore() })
}

// during reports whether a fault was under way around a request.
func (h *History) during(r *Request, is func(Fault) bool) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool { return is(s.Fault) && s.around(r) })
}

// around reports whether a disturbance was under way around a request.
func (s *Span) around(r *Request) bool {
	return !s.From.After(r.Done) && !s.To.Before(r.Sent.Add(-calm))
}
