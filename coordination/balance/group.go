package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/perwork"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// tier is how far away a server is.
type tier uint8

// The tiers, nearest first.
const (
	tierZone tier = iota
	tierRegion
	tierFar

	numTiers = 3
)

// group is one service's candidates of one view, sorted by distance. It is
// immutable but for its atomics.
type group struct {
	service *model.Service
	source  *endpoint.Record // first element of the view's slice
	size    int
	tiers   [numTiers][]member
	fastSet [numTiers]fastSet

	stats *stats
}

// stats are averages over a service's servers. They outlive views.
type stats struct {
	latency perwork.Map[latency]
	load    atomic.Uint64 // float64: moving average of reported load per slot
	uneven  atomic.Bool   // a server has reported how slow its host is
}

// latency is a moving average of what requests of one sort take.
type latency struct {
	mean  atomic.Uint64 // float64: of log2(nanoseconds)
	seen  atomic.Bool   // false before the first
	count atomic.Int32  // number of values, up to maxLatencies
}

// holds reports whether the group was made of this service and this slice.
// The group keeps the slice alive, so an equal address is the same slice.
func (g *group) holds(s *model.Service, candidates []endpoint.Record) bool {
	if g.service != s || g.size != len(candidates) {
		return false
	}
	return g.size == 0 || g.source == &candidates[0]
}

// defaultWork stands for what requests take before the first answer: the middle
// of what the deployments' services take, 30 to 480 ms.
const defaultWork = 100 * time.Millisecond

// typical returns what requests of a sort take on average.
func (g *group) typical(w model.Work) time.Duration {
	l := g.stats.latency.Of(w)
	if !l.seen.Load() {
		return defaultWork
	}
	return time.Duration(math.Exp2(floatOf(&l.mean)))
}

// Load returns what a service's backend servers run and what waits in front of them, as a
// part of their slots, over the reports of the last seconds; 0 where nothing is known, or where
// no backend server tells how its host is: callers are told when to come back as ever there.
func (p *Picker) Load(service string) float64 {
	if g := (*p.groups.Load())[service]; g != nil && g.stats.uneven.Load() {
		return floatOf(&g.stats.load)
	}
	return 0
}

func (g *group) slowStart() time.Duration { return g.service.SlowStart.Std() }

// group returns the group of the candidates. It is built once for each view;
// after that the lookup takes no lock.
func (p *Picker) group(s *model.Service, candidates []endpoint.Record, at int64) *group {
	if g := (*p.groups.Load())[s.Name]; g != nil && g.holds(s, candidates) {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := (*p.groups.Load())[s.Name]
	if old != nil && old.holds(s, candidates) {
		return old
	}
	g := p.build(s, candidates, old, at)
	p.replace(func(m map[string]*group) { m[s.Name] = g })
	p.keepFloor(g)
	return g
}

// build makes a group. Servers of a service not seen before are warm: nothing
// tells which of them is cold, and a ramp for all would only spill. A server
// that joins a known service is cold. p.mu is held.
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
		k := key{r.Node, r.Incarnation}
		known := p.servers[k]
		if known == nil {
			known = new(server)
			if old != nil {
				known.warmFrom.Store(at)
			}
			p.servers[k] = known
		}
		if known.cold.Swap(r.Cold) != r.Cold {
			known.slots.Store(0) // reported for the previous state
		}
		t := p.tierOf(r)
		g.tiers[t] = append(g.tiers[t], member{
			record: r, server: known, way: p.zones.of(r.Zone), slots: p.slotsOf(s, r), tier: t, index: int32(len(g.tiers[t])),
		})
	}
	for t := range g.tiers {
		g.carryFastSet(tier(t))
	}
	return g
}

// carryFastSet carries over a tier's recently fast members from the previous group.
func (g *group) carryFastSet(t tier) {
	for i := range g.tiers[t] {
		if m := &g.tiers[t][i]; m.server.fast.Swap(false) {
			g.fastSet[t].add(m, g.tiers[t], i)
		}
	}
}

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

func (p *Picker) slotsOf(s *model.Service, r *endpoint.Record) int {
	switch {
	case r.Cold:
		return 1 // until its gate reports its slots
	case r.Slots <= 0:
		return p.cfg.DefaultSlots
	}
	return max(1, r.Slots-s.OlderSlots)
}

// replace swaps in a changed copy of the groups. p.mu is held.
func (p *Picker) replace(change func(map[string]*group)) {
	old := *p.groups.Load()
	m := make(map[string]*group, len(old)+1)
	for name, g := range old {
		m[name] = g
	}
	change(m)
	p.groups.Store(&m)
}

// Prune forgets the services and servers that the view no longer holds. Call
// it after a new view is in place, at most a few times a second.
func (p *Picker) Prune(v *endpoint.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make(map[key]bool, len(p.servers))
	for _, name := range v.Services() {
		for _, r := range v.Service(name) {
			live[key{r.Node, r.Incarnation}] = true
		}
	}
	for k := range p.servers {
		if !live[k] {
			delete(p.servers, k)
		}
	}
	p.replace(func(m map[string]*group) {
		for name := range m {
			if len(v.Service(name)) == 0 {
				delete(m, name)
			}
		}
	})
}
