// Package balance picks the backend server for a request.
//
// Two servers are drawn at random and the less loaded one is taken, first in
// the node's own zone, then in its region, then anywhere. What the node itself
// sees (requests in flight, latency, failures) counts more than what a server
// reports, because reports lag and mislead. The path of a request takes no
// lock and allocates nothing once a view's group is built.
package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// draws is the number of random draws in a tier before it is scanned.
const draws = 4

// Picker picks backend servers for one node. It is safe for concurrent use.
type Picker struct {
	cfg    Config
	zone   model.Zone
	region model.Region
	rand   *random.Source

	groups atomic.Pointer[map[string]*group]
	zones  zones

	mu      sync.Mutex // held by writers only, never by a warm Pick
	servers map[key]*server
}

// New returns a picker for a node in the given zone and region.
func New(cfg Config, zone model.Zone, region model.Region, seed uint64) *Picker {
	p := &Picker{cfg: cfg, zone: zone, region: region, rand: random.New(seed), servers: make(map[key]*server)}
	p.groups.Store(&map[string]*group{})
	return p
}

// Choice is a picked server. Done must be called exactly once.
type Choice struct {
	// Record is the server's record in the view. It must not be changed.
	Record *endpoint.Record

	picker *Picker
	group  *group
	member *member
	server *server
	trial  bool
}

// Want is what a request needs of the server that is picked for it.
type Want struct {
	// Work is the request's sort of work.
	Work model.Work
	// Patience is how long the request may wait for a slot at a near server before
	// one further away is better for it. At 0 any wait is too long.
	Patience time.Duration
	// Near leaves servers out that are further away than the nearest ones, also
	// where all of those were tried or are ejected.
	Near bool
}

// Pick chooses among the candidates for a request of which nothing is known: it
// goes further away where it would wait for a slot. See PickFor.
func (p *Picker) Pick(now time.Time, s *model.Service, candidates []endpoint.Record, tried *Tried) (Choice, error) {
	return p.PickFor(now, s, candidates, tried, Want{Work: model.WorkOf(model.KindInteractive)})
}

// PickFor chooses among the candidates, which should be the slice of the current
// view itself: a copy is taken for a new view and indexed again. tried may be
// nil. The error is a *NoEndpointError; the request was not run.
func (p *Picker) PickFor(now time.Time, s *model.Service, candidates []endpoint.Record, tried *Tried, want Want) (Choice, error) {
	at := now.UnixNano()
	g := p.group(s, candidates, at)
	m, trial := p.choose(g, tried, want, at)
	if m == nil && !want.Near {
		m = p.lastResort(g, tried, at)
	}
	if m == nil {
		return Choice{}, &NoEndpointError{Service: s.Name, Candidates: len(candidates), Tried: tried.Len()}
	}
	m.server.inFlight.Add(1)
	return Choice{Record: m.record, picker: p, group: g, member: m, server: m.server, trial: trial}, nil
}

// PickNode chooses the given node's server among the candidates, and reports false
// where it is none of them, was tried, or is ejected. candidates and tried are as
// for Pick.
func (p *Picker) PickNode(now time.Time, s *model.Service, candidates []endpoint.Record, id model.NodeID, tried *Tried) (Choice, bool) {
	at := now.UnixNano()
	g := p.group(s, candidates, at)
	for t := range g.tiers {
		for i := range g.tiers[t] {
			m := &g.tiers[t][i]
			if m.record.Node != id {
				continue
			}
			ok, trial := p.usable(m, nil, tried, at)
			if !ok {
				return Choice{}, false
			}
			m.server.inFlight.Add(1)
			return Choice{Record: m.record, picker: p, group: g, member: m, server: m.server, trial: trial}, true
		}
	}
	return Choice{}, false
}

// choose goes outwards tier by tier and stops at the first server where the
// request is delayed no more than it bears. A server further away is taken only
// where it is sooner by SpillMargin and by what the request bears: a crossing
// that saves its caller nothing only costs.
func (p *Picker) choose(g *group, tried *Tried, want Want, at int64) (best *member, trial bool) {
	var least time.Duration
	for t := range g.tiers {
		m, delay, trial := p.chooseIn(g, g.tiers[t], tried, want, at)
		if m == nil && want.Near && len(g.tiers[t]) > 0 {
			break
		}
		if m == nil {
			continue
		}
		if trial {
			return m, true
		}
		if best == nil || delay+p.margin(tier(t))+want.Patience < least {
			best, least = m, delay
		}
		if delay <= want.Patience || want.Near {
			break
		}
	}
	return best, false
}

// margin returns how much sooner a server of a tier must answer to be preferred to a nearer one.
func (p *Picker) margin(t tier) time.Duration {
	if t == tierFar {
		return p.cfg.RegionMargin
	}
	return p.cfg.SpillMargin
}

// chooseIn returns the better of two random members and the delay there, or a
// member that is due for its trial.
func (p *Picker) chooseIn(g *group, members []member, tried *Tried, want Want, at int64) (*member, time.Duration, bool) {
	a, trial := p.draw(members, nil, tried, at)
	if a == nil {
		return nil, 0, false
	}
	loadA := a.server.loadPerSlot(&p.cfg, g, a, at)
	if trial {
		return a, 0, true
	}
	b := p.drawFast(g, a, members, tried, at)
	if b == nil {
		b, trial = p.draw(members, a, tried, at)
	}
	if trial {
		return b, 0, true
	}
	if b != nil {
		loadB := b.server.loadPerSlot(&p.cfg, g, b, at)
		if p.rate(g, b, loadB, want, at) < p.rate(g, a, loadA, want, at) {
			a, loadA = b, loadB
		}
	}
	return a, p.delay(g, a, loadA, want, at), false
}

// rate returns what a request would meet at the member: the load with the
// request itself, times how slow the member is and how slow its host is now.
func (p *Picker) rate(g *group, m *member, load float64, want Want, at int64) float64 {
	s := m.server
	slow := s.slowness(&p.cfg, at) * s.slowdown(&p.cfg, at)
	if p.cfg.Completion && g.stats.uneven.Load() {
		return p.completion(g, m, load, want, slow, at)
	}
	return (load + 1/float64(m.slots)) * slow
}

// completion returns how long the request would take at the member: its wait for a slot
// and its own time, in nanoseconds. What is reported is old by the time that the request
// arrives, so that the wait begins before all slots are in use: a queue for as many
// slots, each as likely in use as the load says, stands for it.
func (p *Picker) completion(g *group, m *member, load float64, want Want, slow float64, at int64) float64 {
	slots := m.server.slotsOr(m.slots)
	own := float64(g.typical(want.Work)) * slow
	work := float64(m.server.workOr(g.typical(want.Work))) * m.server.slowdown(&p.cfg, at)
	waiting := max(0, load*slots+1-slots)
	crowd := math.Pow(min(load+1/slots, 1), completionPower)
	return own*(1+crowd) + waiting/slots*work
}

// completionPower is how steeply the wait that is expected rises with the load before all
// slots are in use.
const completionPower = 2

// delay returns how long a request would wait for a slot at the member. How slow
// it seems doesn't count: sound servers differ by twice and more, and a really
// slow one has a queue. How slow its host is at this moment does, for what waits.
func (p *Picker) delay(g *group, m *member, load float64, want Want, at int64) time.Duration {
	s := m.server
	slots := s.slotsOr(m.slots)
	waiting := max(0, load*slots+1-slots)
	work := float64(s.workOr(g.typical(want.Work))) * s.slowdown(&p.cfg, at)
	return time.Duration(waiting / slots * work)
}

// drawFast returns a recently fast member other than a for fastSetDraws of totalDraws
// draws in a large tier; nil if there is none, and for other draws.
func (p *Picker) drawFast(g *group, a *member, members []member, tried *Tried, at int64) *member {
	if len(members) < p.cfg.FastMinTier || p.rand.IntN(totalDraws) >= fastSetDraws {
		return nil
	}
	m := g.fastSet[a.tier].draw(members, p.rand.IntN(fastSetSize))
	if m == nil || m.server.ejected() {
		return nil // only random draws make trials
	}
	if ok, _ := p.usable(m, a, tried, at); !ok {
		return nil
	}
	return m
}

// draw returns a random member that may be used, other than not.
func (p *Picker) draw(members []member, not *member, tried *Tried, at int64) (*member, bool) {
	n := len(members)
	if n == 0 {
		return nil, false
	}
	start := 0
	for range draws {
		start = p.rand.IntN(n)
		if ok, trial := p.usable(&members[start], not, tried, at); ok {
			return &members[start], trial
		}
	}
	for i := range n {
		m := &members[(start+i)%n]
		if ok, trial := p.usable(m, not, tried, at); ok {
			return m, trial
		}
	}
	return nil, false
}

func (p *Picker) usable(m, not *member, tried *Tried, at int64) (ok, trial bool) {
	if m == not || tried.excludes(m.record) {
		return false, false
	}
	if !m.server.ejected() {
		return m.way.passes(&p.cfg, at), false
	}
	trial = m.way.open(at) && m.server.startTrial(&p.cfg, at) && m.way.passes(&p.cfg, at)
	return trial, trial
}

// lastResort returns an ejected member that was not tried: a doubtful server
// is better than none. One in a zone that is cut off is not: its caller would only
// wait for nothing.
func (p *Picker) lastResort(g *group, tried *Tried, at int64) *member {
	for t := range g.tiers {
		members := g.tiers[t]
		if len(members) == 0 {
			continue
		}
		start := p.rand.IntN(len(members))
		for i := range members {
			m := &members[(start+i)%len(members)]
			if !tried.excludes(m.record) && m.way.passes(&p.cfg, at) {
				return m
			}
		}
	}
	return nil
}
