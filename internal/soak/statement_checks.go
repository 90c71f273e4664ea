package soak

import (
	"slices"
	"time"
)

// told are when nodes passed on answers with a statement, by the start of the backend server and
// the number of the node, in order.
type told map[string]map[int][]time.Time

// toldBy returns when nodes passed on answers for which states returns true.
func (h *History) toldBy(runs map[string][]Arrival, states func(*Request) bool) told {
	all := make(told)
	for i := range h.Requests {
		r := &h.Requests[i]
		ran := runs[r.ID]
		if !r.Stamped || len(ran) == 0 || !states(r) {
			continue
		}
		last := ran[len(ran)-1]
		start := startOf(last.Server, last.Born)
		if all[start] == nil {
			all[start] = make(map[int][]time.Time)
		}
		all[start][r.Node] = append(all[start][r.Node], r.Done)
	}
	for _, nodes := range all {
		for _, times := range nodes {
			slices.SortFunc(times, time.Time.Compare)
		}
	}
	return all
}

// since returns when a node had first been told by a moment, after the last disturbance of the
// node that excuses it; false if it hasn't.
func (h *History) since(t told, start string, node int, by time.Time, excuses func(Fault) bool) (time.Time, bool) {
	var from time.Time
	for _, p := range h.Spans {
		if p.Node != node || !excuses(p.Fault) || p.From.After(by) {
			continue
		}
		if p.To.After(from) {
			from = p.To
		}
	}
	for _, at := range t[start][node] {
		if at.After(from) {
			return at, !at.After(by)
		}
	}
	return time.Time{}, false
}

// restarts reports whether a fault stops a node or holds it up.
func restarts(f Fault) bool {
	return slices.Contains([]Fault{FaultTerm, FaultKill, FaultFreeze, FaultSignals}, f)
}

// cutsOrRestarts reports whether a fault does that, or cuts a node off.
func cutsOrRestarts(f Fault) bool { return restarts(f) || f == FaultCutNode }

// checkStatements checks that backend servers got no more than they had stated to take, and
// nothing after they had stated to leave, from nodes that had passed the statement on.
func (h *History) checkStatements(runs map[string][]Arrival, found *report) {
	sent := make(map[string]*Request, len(h.Requests))
	for i := range h.Requests {
		sent[h.Requests[i].ID] = &h.Requests[i]
	}
	limited := h.toldBy(runs, func(r *Request) bool { return r.Limited })
	leaving := h.toldBy(runs, func(r *Request) bool { return r.Leaving })
	counted := make(map[string][]time.Time)
	for _, a := range h.Arrivals {
		r := sent[a.ID]
		if r == nil || a.Refused {
			continue
		}
		start := startOf(a.Server, a.Born)
		if at, was := h.since(leaving, start, r.Node, a.At, restarts); was && r.Sent.Sub(at) > drainTime {
			found.add(CheckLeaving, "%s got %s, which was sent to node %d %v after that node had passed on that it leaves", a.Server, a.ID, r.Node, r.Sent.Sub(at))
		}
		if at, was := h.since(limited, start, r.Node, a.At, cutsOrRestarts); was && a.At.Sub(at) >= toldAfter {
			counted[start] = append(counted[start], a.At)
		}
	}
	for start, spans := range h.Limits {
		checkLimit(start, spans, counted[start], found)
	}
}

// checkLimit checks the arrivals at one start of a backend server against what it stated.
func checkLimit(start string, spans []LimitSpan, arrivals []time.Time, found *report) {
	slices.SortFunc(arrivals, time.Time.Compare)
	first, last := spans[0].From, spans[len(spans)-1].To
	for i, from := range arrivals {
		if from.Before(first.Add(touchTime)) || from.After(last) {
			continue
		}
		to := from.Add(limitWindow)
		n := 0
		for _, at := range arrivals[i:] {
			if at.Before(to) && at.Before(last) {
				n++
			}
		}
		perSecond := 0.0
		for _, s := range spans {
			if s.From.Before(to) && s.To.After(from) {
				perSecond = max(perSecond, s.PerSecond)
			}
		}
		if allowed := limitOver*perSecond*limitWindow.Seconds() + limitSlack; float64(n) > allowed {
			found.add(CheckLimit, "%s stated %v a second and got %d requests in %v from nodes that it had told, %.0f are allowed", start, perSecond, n, limitWindow, allowed)
			return
		}
	}
}
