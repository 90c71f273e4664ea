package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/perwork"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// tier is the distance class of a server, seen from the picker's node.
type tier uint8

// The tiers, nearest first.
const (
	tierZone   tier = iota // in the node's own zone
	tierRegion             // in another zone of the node's region
	tierFar                // anywhere else

	numTiers = 3
)

// group holds the candidates of one service in one view, divided into tiers. It is
// immutable except for its atomics.
type group struct {
	service *model.Service
	source  *endpoint.Record // first element of the slice of candidates
	size    int
	tiers   [numTiers][]member
	fastSet [numTiers]fastSet

	stats *stats
}

// stats are averages over a service's servers. They are carried over from view to view.
type stats struct {
	latency          perwork.Map[latencyAverage]
	load             atomic.Uint64 // float64: moving average of reported load per slot
	slowdownReported atomic.Bool   // whether a server has reported its host's slowdown
	reduced          atomic.Bool   // whether a server may be reduced, see member.reduced
}

// latencyAverage is a moving average of the latencies of requests of one workload.
type latencyAverage struct {
	mean  atomic.Uint64 // float64: of log2(nanoseconds)
	seen  atomic.Bool   // false before the first value
	count atomic.Int32  // number of values, up to maxLatencies
}

// builtFrom reports whether the group was built from this service and this slice. The
// group keeps the slice alive, so an equal address means the same slice.
func (g *group) builtFrom(s *model.Service, candidates []endpoint.Record) bool {
	if g.service != s || g.size != len(candidates) {
		return false
	}
	return g.size == 0 || g.source == &candidates[0]
}

// defaultLatency is the mean latency assumed before the first response. It lies in the middle
// of the range of the services in deployments, 30 to 480 ms.
const defaultLatency = 100 * time.Millisecond

// meanLatency returns the mean latency of requests of a workload.
func (g *group) meanLatency(w model.Work) time.Duration {
	l := g.stats.latency.Of(w)
	if !l.seen.Load() {
		return defaultLatency
	}
	return time.Duration(math.Exp2(floatOf(&l.mean)))
}

// Load returns the load of a service: the running and queued requests at its backend
// servers as a fraction of their slots, averaged over the reports of the last seconds. It
// returns 0 without any report, and also where no backend server reports the slowdown of
// its host; the Retry-After delay then doesn't depend on the load.
func (p *Picker) Load(service string) float64 {
	if g := (*p.groups.Load())[service]; g != nil && g.stats.slowdownReported.Load() {
		return floatOf(&g.stats.load)
	}
	return 0
}

// heldFor returns the time until the first of the held servers that aren't excluded may accept a
// request; 0 if none is held.
func (g *group) heldFor(excluded *Exclusions, at int64) time.Duration {
	var first time.Duration
	for t := range g.tiers {
		for i := range g.tiers[t] {
			m := &g.tiers[t][i]
			if d := m.server.heldFor(m.record.Instance, at); d > 0 && !excluded.excludes(m.record) && (first == 0 || d < first) {
				first = d
			}
		}
	}
	return first
}

// slowStart returns the duration of the service's slow start; 0 for none.
func (g *group) slowStart() time.Duration { return g.service.SlowStart.Std() }

// group returns the group of the candidates. It is built once for each view; later lookups
// take no lock.
func (p *Picker) group(s *model.Service, candidates []endpoint.Record, at int64) *group {
	if g := (*p.groups.Load())[s.Name]; g != nil && g.builtFrom(s, candidates) {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := (*p.groups.Load())[s.Name]
	if old != nil && old.builtFrom(s, candidates) {
		return old
	}
	g := p.build(s, candidates, old, at)
	p.updateGroups(func(m map[string]*group) { m[s.Name] = g })
	p.enforceFloor(g)
	return g
}

// build builds a group. The servers of a service not seen before count as warm: there is
// no information which of them are cold, and a slow start of all of them would only move
// requests to farther tiers. A server that joins a known service begins a slow start.
// p.mu is held.
func (p *Picker) build(s *model.Service, candidates []endpoint.Record, old *group, at int64) *group {
	g := &group{service: s, size: len(candidates), stats: new(stats)}
	if len(candidates) > 0 {
		g.source = &candidates[0]
	}
	if old != nil {
		g.stats = old.stats
	}
	for i := range candidates {
		r := &candidates[i]
		k := serverKey{r.Node, r.Incarnation}
		known := p.servers[k]
		if known == nil {
			known = new(server)
			if old != nil {
				known.warmupStart.Store(at)
			}
			p.servers[k] = known
		}
		if known.cold.Swap(r.Cold) != r.Cold {
			known.slots.Store(0) // they were reported before the server became cold or warm
		}
		t := p.tierOf(r)
		g.tiers[t] = append(g.tiers[t], member{
			record: r, server: known, zone: p.zones.get(r.Zone), slots: p.slotsOf(s, r), tier: t, index: int32(len(g.tiers[t])),
		})
	}
	for t := range g.tiers {
		g.carryFastSet(tier(t))
	}
	return g
}

// carryFastSet carries over a tier's fast set from the previous group.
func (g *group) carryFastSet(t tier) {
	for i := range g.tiers[t] {
		if m := &g.tiers[t][i]; m.server.inFastSet.Swap(false) {
			g.fastSet[t].add(m, g.tiers[t], i)
		}
	}
}

// tierOf returns the tier of a server.
func (p *Picker) tierOf(r *endpoint.Record) tier {
	switch {
	case r.Zone == p.zone:
		return tierZone
	case p.region != "" && r.Region == p.region:
		return tierRegion
	default:
		return tierFar
	}
}

// slotsOf returns the slots of a server according to its record: those that the service
// doesn't leave to the older system, at least 1.
func (p *Picker) slotsOf(s *model.Service, r *endpoint.Record) int {
	switch {
	case r.Cold:
		return 1 // until its gate reports its slots
	case r.Slots <= 0:
		return p.cfg.DefaultSlots
	}
	return max(1, r.Slots-s.OlderSlots)
}

// updateGroups replaces the map of groups by a copy to which change was applied. p.mu is
// held.
func (p *Picker) updateGroups(change func(map[string]*group)) {
	old := *p.groups.Load()
	m := make(map[string]*group, len(old)+1)
	for name, g := range old {
		m[name] = g
	}
	change(m)
	p.groups.Store(&m)
}

// Prune removes the state of services and servers that are not in the view. Call it after
// a new view is in place, at most a few times a second.
func (p *Picker) Prune(v *endpoint.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make(map[serverKey]bool, len(p.servers))
	for _, name := range v.Services() {
		for _, r := range v.Service(name) {
			live[serverKey{r.Node, r.Incarnation}] = true
		}
	}
	for k := range p.servers {
		if !live[k] {
			delete(p.servers, k)
		}
	}
	p.updateGroups(func(m map[string]*group) {
		for name := range m {
			if len(v.Service(name)) == 0 {
				delete(m, name)
			}
		}
	})
}
