package balance

import (
	"sync"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// zones holds the state of each availability zone, as seen by the picker's node.
type zones struct{ byName sync.Map } // model.Zone -> *zoneState

// zoneState tracks whether one availability zone is reachable. All fields are atomic.
type zoneState struct {
	unreachable atomic.Int32                 // consecutive requests that didn't reach their host
	firstHost   atomic.Pointer[model.NodeID] // host of the first of them
	// multipleHosts is set once these requests were for more than one host: if all were for
	// the same one, that host may be down rather than the zone unreachable.
	multipleHosts atomic.Bool
	// nextTrial is the time of the next trial request, in Unix nanoseconds; 0 while the
	// zone is reachable.
	nextTrial atomic.Int64
}

// get returns the state of a zone, which is reachable at first.
func (z *zones) get(name model.Zone) *zoneState {
	if s, ok := z.byName.Load(name); ok {
		return s.(*zoneState)
	}
	s, _ := z.byName.LoadOrStore(name, new(zoneState))
	return s.(*zoneState)
}

// recordReached records that a host of the zone has responded, and marks the zone as
// reachable.
func (s *zoneState) recordReached() {
	if s.unreachable.Load() == 0 && s.nextTrial.Load() == 0 {
		return
	}
	s.unreachable.Store(0)
	s.multipleHosts.Store(false)
	s.nextTrial.Store(0)
}

// recordUnreachable records that a request didn't reach its host in the zone. It marks the
// zone as unreachable after Config.ZoneFailures of them in a row, to more than one host.
func (s *zoneState) recordUnreachable(c *Config, id model.NodeID, at int64) {
	n := s.unreachable.Add(1)
	first := s.firstHost.Load()
	if n == 1 || first == nil {
		s.firstHost.Store(&id)
		return
	}
	if *first != id {
		s.multipleHosts.Store(true)
	}
	if n >= c.ZoneFailures && s.multipleHosts.Load() {
		s.nextTrial.Store(at + int64(c.ZoneRetry))
	}
}

// available reports whether a request may be sent into the zone now: the zone is reachable,
// or a trial is due. Unlike admit it doesn't start the trial.
func (s *zoneState) available(at int64) bool { return at >= s.nextTrial.Load() }

// admit reports whether to send a request into the zone. Of the requests for an unreachable
// zone it admits one per Config.ZoneRetry, as a trial.
func (s *zoneState) admit(c *Config, at int64) bool {
	due := s.nextTrial.Load()
	if due == 0 {
		return true
	}
	return at >= due && s.nextTrial.CompareAndSwap(due, at+int64(c.ZoneRetry))
}

// UnreachableZones returns the number of unreachable zones, which get no requests except
// trials.
func (p *Picker) UnreachableZones() int {
	n := 0
	for _, s := range p.zones.byName.Range {
		if s.(*zoneState).nextTrial.Load() != 0 {
			n++
		}
	}
	return n
}
