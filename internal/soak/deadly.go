package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// deadlyPrefix begins the paths that end each backend server that runs them.
const deadlyPrefix = "/status/deadly-"

// deadlyPath returns one of them.
func deadlyPath(number int) string { return fmt.Sprintf("%s%d", deadlyPrefix, number) }

func isDeadly(path string) bool { return strings.HasPrefix(path, deadlyPrefix) }

// startOf names one start of a backend server.
func startOf(id string, born int64) string {
	if born == 0 {
		return id
	}
	return fmt.Sprintf("%s started %d", id, born)
}

const (
	// knownAfter is how long after a crash all nodes that are in contact know of it; the
	// users' platform allows 3 s.
	knownAfter = 3 * time.Second
	// maxAfter is how many backend servers a request may still reach then.
	maxAfter = 3
)

// checkQuarantine checks how often each request that ends backend servers reached one
// after three had ended under it.
func (h *History) checkQuarantine(found *report) {
	nodes := make(map[string]int, len(h.Requests))
	for i := range h.Requests {
		nodes[h.Requests[i].ID] = h.Requests[i].Node
	}
	deadly := make(map[string][]Arrival)
	for _, a := range h.Arrivals {
		if isDeadly(a.Path) && !a.Refused {
			deadly[a.Path] = append(deadly[a.Path], a)
		}
	}
	for _, path := range slices.Sorted(maps.Keys(deadly)) {
		third, ended := thirdEnd(deadly[path])
		if ended < suspect.Threshold {
			continue
		}
		late := 0
		for _, a := range deadly[path] {
			if a.At.Sub(third) > knownAfter && !h.away(nodes[a.ID], a.At) {
				late++
			}
		}
		if late > maxAfter {
			found.add(CheckQuarantine, "%s ended %d backend servers and reached %d later than %v after the third", path, ended, late, knownAfter)
		}
	}
}

// thirdEnd returns when the third backend server ended under the request that arrived,
// and how many did.
func thirdEnd(arrivals []Arrival) (third time.Time, ended int) {
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	for _, a := range arrivals {
		start := startOf(a.Server, a.Born)
		if seen[start] {
			continue
		}
		seen[start] = true
		if len(seen) == suspect.Threshold {
			third = a.At
		}
	}
	return third, len(seen)
}

// away reports whether a node was stopped, frozen or just started at a time.
func (h *History) away(node int, at time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool {
		struck := s.Fault == FaultTerm || s.Fault == FaultKill || s.Fault == FaultFreeze
		return struck && s.Node == node && !at.Before(s.From) && !at.After(s.To.Add(knownAfter))
	})
}
