package departure

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// siteSeeds is the number of seeds of each order that are played.
var siteSeeds = flag.Int("departure.seeds", 40, "seeds of each order of events")

// order is an order of events around a departure.
type order struct {
	// storeAway is how long before the goodbye the store goes down; negative for not at all.
	// storeBack is how long after the node's next start it comes back; negative for before it.
	storeAway, storeBack time.Duration
	// killedAfter is how long after the acknowledgement the node is killed, and away for how long.
	killedAfter, away time.Duration
	// lateAfter is how long after the node's next start the late heartbeat arrives.
	lateAfter time.Duration
	// neighboursKilled kills all other nodes of the zone 1 s after the node.
	neighboursKilled bool
	// restarted lets all other nodes start again in turn while the node is away.
	restarted bool
	// powerOff is how long after the node's next start all nodes lose power for a second; 0 for
	// never.
	powerOff time.Duration
	// allKilled kills all nodes with the node, and zoneKilled those of its zone. They start again with
	// it.
	allKilled, zoneKilled bool
	// zoneCut cuts the node's zone off from the others and the store from before the goodbye until
	// storeBack after the node's next start. storeAway tells how long before.
	zoneCut bool
	// moreLate is the number of further late heartbeats, as far apart as they were sent, or together.
	moreLate int
	together bool
	// anonymous lets health checks tell no instance, and unanswered lets them fail.
	anonymous, unanswered bool
	// restartedAgain is how long after the node's next start the node and half of the others are
	// killed once more, for a second; 0 for never.
	restartedAgain time.Duration
	// cutOff lets only one other node reach the node for 2 s after its start.
	cutOff bool
}

var orders = map[string]order{
	"the store serves":                           {storeAway: -1, killedAfter: 200 * time.Millisecond, away: 500 * time.Millisecond, lateAfter: 2 * time.Second},
	"the store serves, away for long":            {storeAway: -1, killedAfter: 200 * time.Millisecond, away: 12 * time.Second, lateAfter: 2 * time.Second},
	"killed as it is acknowledged":               {storeAway: time.Second, storeBack: 2 * time.Second, away: 500 * time.Millisecond, lateAfter: 2 * time.Second},
	"away for 0.5 s":                             {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 500 * time.Millisecond, lateAfter: 2200 * time.Millisecond},
	"away for 1.5 s":                             {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 1500 * time.Millisecond, lateAfter: 2200 * time.Millisecond},
	"away for 3 s":                               {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 3 * time.Second, lateAfter: 2200 * time.Millisecond},
	"away for 12 s":                              {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 12 * time.Second, lateAfter: 2200 * time.Millisecond},
	"away for 30 s":                              {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 30 * time.Second, lateAfter: 2200 * time.Millisecond},
	"the heartbeat comes at once":                {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 5 * time.Second},
	"the heartbeat comes before the store":       {storeAway: time.Second, storeBack: 6 * time.Second, killedAfter: 200 * time.Millisecond, away: 5 * time.Second, lateAfter: 4 * time.Second},
	"the heartbeat comes with the store":         {storeAway: time.Second, storeBack: 6 * time.Second, killedAfter: 200 * time.Millisecond, away: 5 * time.Second, lateAfter: 6010 * time.Millisecond},
	"the store comes back before any peer":       {storeAway: time.Second, storeBack: 3200 * time.Millisecond, killedAfter: 200 * time.Millisecond, away: 5 * time.Second, lateAfter: 3300 * time.Millisecond},
	"the record has expired":                     {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 8 * time.Second, away: 3 * time.Second, lateAfter: 2 * time.Second},
	"the store stays away":                       {storeAway: time.Second, storeBack: time.Hour, killedAfter: 200 * time.Millisecond, away: 3 * time.Second, lateAfter: 4 * time.Second},
	"its neighbours are killed too":              {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 3 * time.Second, lateAfter: 4 * time.Second, neighboursKilled: true},
	"its neighbours are killed, the store stays": {storeAway: time.Second, storeBack: time.Hour, killedAfter: 200 * time.Millisecond, away: 3 * time.Second, lateAfter: 6 * time.Second, neighboursKilled: true},
	"all are killed once it has been told":       {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 10 * time.Millisecond, away: 3 * time.Second, lateAfter: 12 * time.Second, powerOff: 8 * time.Second},
	"all others start again in turn":             {storeAway: time.Second, storeBack: 6 * time.Second, killedAfter: 200 * time.Millisecond, away: 30 * time.Second, lateAfter: 4 * time.Second, restarted: true},
	"one node reaches it first":                  {storeAway: time.Second, storeBack: 2 * time.Second, killedAfter: 200 * time.Millisecond, away: 3 * time.Second, lateAfter: time.Second, cutOff: true},
	"one node reaches it first, before the store": {storeAway: time.Second, storeBack: 6 * time.Second, killedAfter: 200 * time.Millisecond, away: 5 * time.Second, lateAfter: 4 * time.Second, cutOff: true,
		neighboursKilled: true},
}

// ordersOfAll are orders in which all processes that remember are killed: only the backend server
// itself knows then.
var ordersOfAll = map[string]order{
	"as it is acknowledged":       {allKilled: true, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second},
	"the store comes back first":  {allKilled: true, killedAfter: time.Second, away: 4 * time.Second, storeBack: -2 * time.Second, lateAfter: time.Second},
	"the store comes back later":  {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 12 * time.Second, lateAfter: 12500 * time.Millisecond},
	"the heartbeat comes at once": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond},
	"the heartbeat comes before the store": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 4 * time.Second,
		lateAfter: 500 * time.Millisecond},
	"two heartbeats":          {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second, moreLate: 1},
	"three heartbeats":        {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second, moreLate: 2},
	"five heartbeats at once": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second, moreLate: 4, together: true},
	"anonymous health checks": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second, moreLate: 1,
		anonymous: true},
	"health checks fail": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 2 * time.Second, moreLate: 1,
		unanswered: true},
	"twice": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 6 * time.Second, lateAfter: 7 * time.Second, powerOff: 3 * time.Second},
	"some start again once more": {allKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 500 * time.Millisecond, lateAfter: 8 * time.Second,
		restartedAgain: 4 * time.Second},
	"in a zone that is cut off": {zoneCut: true, zoneKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 2 * time.Second, lateAfter: 3 * time.Second},
	"in a zone, the heartbeat comes first": {zoneCut: true, zoneKilled: true, killedAfter: time.Second, away: time.Second, storeBack: 3 * time.Second,
		lateAfter: time.Second, anonymous: true},
	"in a zone, before the cut ends": {zoneCut: true, zoneKilled: true, killedAfter: time.Second, away: 4 * time.Second, storeBack: -time.Second, lateAfter: time.Second},
}

// Guards against a departure that is acknowledged and forgotten when the node starts again.
func TestAcknowledgedDepartureOutlastsTheNode(t *testing.T) {
	playOrders(t, orders, func(t *testing.T, seed uint64, s *simSite) {
		if s.forgotten {
			t.Errorf("seed %d: neither the store nor a running node remembers the departure", seed)
		}
	})
}

// playOrders plays each order with siteSeeds seeds, and checks the rule and what else check does.
func playOrders(t *testing.T, all map[string]order, check func(t *testing.T, seed uint64, s *simSite)) {
	for name, o := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*siteSeeds) {
				s := playOrder(t, seed, o)
				check(t, seed, s)
				if len(s.violations) > 0 {
					t.Errorf("seed %d: %d times, first: %s", seed, len(s.violations), s.violations[0])
				}
			}
		})
	}
}

// Guards against a backend server that is used after its acknowledged goodbye because all processes
// that remembered it were killed before the store did.
func TestGoodbyeIsKeptThoughAllProcessesAreKilled(t *testing.T) {
	playOrders(t, ordersOfAll, func(*testing.T, uint64, *simSite) {})
}

// Guards against backend servers in service that are not used soon after all processes were killed.
func TestBackendServersAreUsedAfterAllProcessesWereKilled(t *testing.T) {
	for name, c := range map[string]struct {
		checked Check
		within  time.Duration // after the store is back and all run
	}{
		"confirmed by health checks": {InService, 3 * time.Second},
		"confirmed by heartbeats":    {Anonymous, 8 * time.Second},
		"health checks fail":         {Unanswered, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*siteSeeds) {
				s := newSimSite(seed, 3+4*int(seed%2), 2, 2)
				s.checked = c.checked
				s.runFor(5 * time.Second)
				s.setStoreDown(true)
				s.powerOffAll()
				s.runFor(1200*time.Millisecond + s.upTo(6*time.Second))
				s.setStoreDown(false)
				s.runFor(c.within)
				for _, n := range s.nodes {
					for _, of := range s.nodes {
						must.True(t, n.sendsTo(of.start.Key()), must.Sprintf("seed %d: %s sends to the one beside %s", seed, n.id, of.id))
					}
				}
			}
		})
	}
}

// playOrder plays one order. Times vary with the seed, and so do the ways in which the backend
// server departs and the nodes find each other.
func playOrder(t *testing.T, seed uint64, o order) *simSite {
	s := newSimSite(seed, 3+4*int(seed%2), 2+int(seed%3), 2)
	s.runFor(5 * time.Second)
	for _, n := range s.nodes {
		must.Positive(t, len(n.linked()), must.Sprint(n.id))
		must.True(t, n.sendsTo(s.nodes[0].start.Key()), must.Sprint(fmt.Sprintf("%s knows the backend server, seed %d", n.id, seed)))
	}
	leaver := s.nodes[s.rng.IntN(len(s.nodes))]
	s.checked = o.checked()
	if o.zoneCut {
		s.cutZone(leaver.zone)
		s.runFor(o.storeAway + s.upTo(200*time.Millisecond))
	} else if o.storeAway >= 0 {
		s.setStoreDown(true)
		s.runFor(o.storeAway + s.upTo(200*time.Millisecond))
	}
	var late []instance.Heartbeat
	for range 1 + o.moreLate {
		late = append(late, leaver.beat(false))
	}
	s.sayGoodbye(leaver, s.rng.IntN(2) == 0)
	for s.ackedAt.IsZero() {
		s.runFor(time.Millisecond)
	}
	s.runFor(o.killedAfter)
	killed := []*simNode{leaver}
	for _, n := range s.nodes {
		if n != leaver && (o.allKilled || o.zoneKilled && n.zone == leaver.zone) {
			killed = append(killed, n)
		}
	}
	for _, n := range killed {
		n.crash()
	}
	if o.storeBack < 0 {
		s.after(o.away+o.storeBack, s.storeReturns)
	}
	if o.neighboursKilled {
		s.after(time.Second, func() { s.killNeighbours(leaver) })
	}
	if o.restarted {
		s.restartInTurn(leaver, o.away)
	}
	s.runFor(o.away + s.upTo(300*time.Millisecond))
	if o.cutOff {
		s.onlyOneReaches(leaver, 2*time.Second)
	}
	leaver.run(false)
	for _, n := range killed[1:] {
		s.after(s.upTo(200*time.Millisecond), func() { n.run(false) })
	}
	if o.storeAway >= 0 && o.storeBack >= 0 {
		s.after(o.storeBack, s.storeReturns)
	}
	for i, h := range late {
		gap := time.Duration(i) * simHeartbeat
		if o.together {
			gap = 0
		}
		s.after(o.lateAfter+gap, func() { leaver.hear(h) })
	}
	if o.restartedAgain > 0 {
		s.after(o.restartedAgain, func() { s.restartHalf(leaver) })
	}
	if o.powerOff > 0 {
		s.after(o.powerOff, s.powerOffAll)
	}
	s.runFor(20 * time.Second)
	s.ended = true
	s.nextStartIsUsed(t, leaver)
	return s
}

// checked returns what health checks of backend servers in service find.
func (o *order) checked() Check {
	switch {
	case o.anonymous:
		return Anonymous
	case o.unanswered:
		return Unanswered
	}
	return InService
}

// cutZone cuts a zone off from the others and the store.
func (s *simSite) cutZone(zone model.Zone) {
	s.cut = func(a, b *simNode) bool { return (a.zone == zone) != (b.zone == zone) }
	s.storeCut = func(n *simNode) bool { return n.zone == zone }
}

// storeReturns ends the outage of the store, and the cut of a zone.
func (s *simSite) storeReturns() {
	s.setStoreDown(false)
	s.storeSince = s.now
	s.cut = func(_, _ *simNode) bool { return false }
	s.storeCut = func(*simNode) bool { return false }
}

// restartHalf kills a node and half of the others for a second.
func (s *simSite) restartHalf(n *simNode) {
	for i, o := range s.nodes {
		if o == n || i%2 == 0 {
			o.crash()
			s.after(time.Second+s.upTo(200*time.Millisecond), func() { o.run(false) })
		}
	}
}

// killNeighbours kills the other nodes of a node's zone, which start again half a second later.
func (s *simSite) killNeighbours(of *simNode) {
	for _, n := range s.nodes {
		if n != of && n.zone == of.zone {
			n.crash()
			s.after(500*time.Millisecond, func() { n.run(false) })
		}
	}
}

// restartInTurn kills all nodes but one in turn, over a time. Each starts again after a second.
func (s *simSite) restartInTurn(but *simNode, during time.Duration) {
	for i, n := range s.nodes {
		if n != but {
			s.after(time.Second+time.Duration(i)*during/time.Duration(len(s.nodes)), func() {
				n.crash()
				s.after(time.Second, func() { n.run(false) })
			})
		}
	}
}

// powerOffAll lets all nodes lose power for a second.
func (s *simSite) powerOffAll() {
	for _, n := range s.nodes {
		n.crash()
	}
	for _, n := range s.nodes {
		s.after(time.Second+s.upTo(200*time.Millisecond), func() { n.run(false) })
	}
}

// onlyOneReaches lets only one other node reach a node for a time.
func (s *simSite) onlyOneReaches(n *simNode, d time.Duration) {
	one := n
	for one == n {
		one = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	until := s.now.Add(d)
	s.cut = func(a, b *simNode) bool {
		return s.now.Before(until) && (a == n && b != one || b == n && a != one)
	}
}

// nextStartIsUsed checks that the backend server's next start is used.
func (s *simSite) nextStartIsUsed(t *testing.T, n *simNode) {
	n.start = instance.Start{ID: n.start.ID, Born: s.now.UnixMilli()}
	n.beats, n.silent = 0, false
	s.runFor(10 * time.Second)
	for _, other := range s.nodes {
		if other.configured {
			must.True(t, other.sendsTo(n.start.Key()), must.Sprintf("%s sends to the next start", other.id))
		}
	}
}
