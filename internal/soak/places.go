package soak

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/sidecar"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Limits for cold backend servers and evacuated zones.
const (
	// coldTime is how long a backend server stays cold.
	coldTime = 2 * time.Second
	// A cold backend server may get coldRate*coldOver+coldSlack requests in any second.
	coldRate  = 10 // requests per second
	coldOver  = 1.5
	coldSlack = 8
	// evacuateTime is how long after the evacuation order the zone's backend servers may
	// still get requests.
	evacuateTime = 2 * time.Second
	// evacuateMargin is added to evacuateTime to allow for scheduling delays.
	evacuateMargin = time.Second
)

// evacuationSettings configures the limits for cold backend servers and evacuated zones.
func evacuationSettings(set *sidecar.Settings) {
	set.Cold = sidecar.ColdSettings{Over: coldOver, Slack: coldSlack}
	set.EvacuateMillis = int(evacuateTime.Milliseconds())
}

// Evacuation is the evacuation of an availability zone.
type Evacuation struct {
	Zone model.Zone
	// From is when the order was stored, and To when it was removed.
	From, To time.Time
}

// evacuate evacuates the zone of the step's node. The zone's backend servers are cold when the
// evacuation ends.
func (s *soak) evacuate(ctx context.Context, step Step) {
	zone := s.site.nodes[step.Node].set.Zone
	if !s.beginEvacuation(zone) {
		return
	}
	key := "evacuate/" + string(zone)
	s.site.store.Put("op", key, []byte("{}"))
	from := time.Now()
	wait(ctx, step.For+evacuateTime)
	for _, n := range s.site.nodes {
		if n.set.Zone == zone {
			n.host.markCold()
		}
	}
	to := time.Now()
	s.site.store.Remove("op", key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuated, zone)
	s.evacuations = append(s.evacuations, Evacuation{Zone: zone, From: from, To: to})
}

// beginEvacuation marks a zone as evacuated. It returns false if the zone already was.
func (s *soak) beginEvacuation(zone model.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.evacuated[zone]
	s.evacuated[zone] = true
	return !was
}

// markCold marks the current backend server, if any, as cold.
func (h *host) markCold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil {
		h.current.markCold()
	}
}

// markCold marks the backend server as cold for coldTime from now. The host's mu is held.
func (s *server) markCold() {
	now := time.Now()
	s.coldUntil = now.Add(coldTime)
	s.coldSpans = append(s.coldSpans, Span{From: now, To: s.coldUntil})
}

// checkColdAndEvacuated checks the requests that cold backend servers and backend servers in
// evacuated zones got.
func (h *History) checkColdAndEvacuated(found *report) {
	byServer := make(map[string][]Arrival)
	for _, a := range h.Arrivals {
		if a.Refused {
			continue
		}
		h.checkEvacuated(&a, found)
		byServer[startOf(a.Server, a.Born)] = append(byServer[startOf(a.Server, a.Born)], a)
	}
	for start, spans := range h.ColdSpans {
		checkCold(start, spans, byServer[start], found)
	}
}

// checkEvacuated checks that an arrival is not in an evacuated zone. Arrivals are exempt if a
// disturbance may have delayed the order.
func (h *History) checkEvacuated(a *Arrival, found *report) {
	for _, e := range h.Evacuations {
		if e.Zone != a.Zone || a.At.After(e.To) || a.At.Sub(e.From) < evacuateTime+evacuateMargin {
			continue
		}
		if !h.disturbedBetween(e.From.Add(-calm), a.At) {
			found.add(CheckEvacuated, "%s got %s %v after the order to evacuate its zone", a.Server, a.ID, a.At.Sub(e.From))
		}
	}
}

// backendFaults are the faults of backend servers only. They don't delay evacuation orders.
var backendFaults = []Fault{FaultCrash, FaultReturn, FaultDeadly}

// disturbedBetween reports whether an unplanned disturbance of a node, a link or the store was
// under way between from and to.
func (h *History) disturbedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(p Span) bool {
		return !p.Fault.Planned() && !slices.Contains(backendFaults, p.Fault) && p.From.Before(to) && p.To.After(from)
	})
}

// checkCold checks that one start of a backend server got no more requests than its limit in
// any second while it was cold.
func checkCold(start string, spans []Span, got []Arrival, found *report) {
	slices.SortFunc(got, func(a, b Arrival) int { return a.At.Compare(b.At) })
	for _, span := range spans {
		cold := slices.DeleteFunc(slices.Clone(got), func(a Arrival) bool { return a.At.Before(span.From) || a.At.After(span.To) })
		for i, first := range cold {
			n := 0
			for _, a := range cold[i:] {
				if a.At.Sub(first.At) < time.Second {
					n++
				}
			}
			if float64(n) > coldRate*coldOver+coldSlack {
				found.add(CheckCold, "%s got %d requests within a second while cold", start, n)
				return
			}
		}
	}
}
