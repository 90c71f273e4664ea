// Package balance picks the backend server for a request.
//
// It draws two servers at random and takes the less loaded one, first in the node's own
// zone, then in its region, then anywhere. The node's own measurements (requests in flight,
// latency, failures) have precedence over the load that a server reports, because reports
// are delayed and can be wrong. Once the group of a view is built, picking a server takes no
// lock and allocates nothing.
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

// maxRandomDraws is the number of random draws that may miss before a tier is scanned for a
// usable member.
const maxRandomDraws = 4

// Picker picks backend servers for one node. It is safe for concurrent use.
type Picker struct {
	cfg    Config
	zone   model.Zone
	region model.Region
	rand   *random.Source

	groups atomic.Pointer[map[string]*group]
	zones  zones
	// nodes is the number of nodes in the fleet, which share the probes.
	nodes atomic.Int64

	// mu is held to change groups, servers and ejections. Picking from a group that is
	// already built doesn't take it.
	mu      sync.Mutex
	servers map[serverKey]*server
}

// New returns a picker for a node in the given zone and region.
func New(cfg Config, zone model.Zone, region model.Region, seed uint64) *Picker {
	p := &Picker{cfg: cfg, zone: zone, region: region, rand: random.New(seed), servers: make(map[serverKey]*server)}
	p.groups.Store(&map[string]*group{})
	return p
}

// Choice is a server picked for one request. Done must be called exactly once.
type Choice struct {
	// Record is the server's record in the view. It must not be changed.
	Record *endpoint.Record

	picker *Picker
	group  *group
	member *member
	server *server
	trial  bool
}

// Pick picks a server for a request without known requirements: it considers a farther tier
// as soon as the request would wait for a slot. See PickFor.
func (p *Picker) Pick(now time.Time, s *model.Service, candidates []endpoint.Record, excluded *Exclusions) (Choice, error) {
	return p.PickFor(now, s, candidates, excluded, PickOptions{Work: model.WorkOf(model.KindInteractive)})
}

// PickFor picks one of the candidates. They should be the slice of the current view itself:
// a copy of it counts as a new view, for which the group is built again. excluded may be nil.
// The error is a *NoEndpointError; the request was not run.
func (p *Picker) PickFor(now time.Time, s *model.Service, candidates []endpoint.Record, excluded *Exclusions, opts PickOptions) (Choice, error) {
	at := now.UnixNano()
	g := p.group(s, candidates, at)
	m, trial := p.probe(g, excluded, opts, at), false
	if m == nil {
		m, trial = p.choose(g, excluded, opts, at)
	}
	if m == nil && !opts.NearestOnly {
		m = p.lastResort(g, excluded, at)
	}
	if m == nil {
		return Choice{}, &NoEndpointError{Service: s.Name, Candidates: len(candidates), Tried: excluded.Len(), HeldFor: g.heldFor(excluded, at)}
	}
	m.server.inFlight.Add(1)
	if m.reduced() {
		m.server.sentAt.Store(at)
	}
	return Choice{Record: m.record, picker: p, group: g, member: m, server: m.server, trial: trial}, nil
}

// PickNode picks the server of the given node. It returns false if the server is not among
// the candidates, is one of excluded, is ejected, or is in an unreachable zone, unless a trial
// is due. candidates and excluded are as for PickFor.
func (p *Picker) PickNode(now time.Time, s *model.Service, candidates []endpoint.Record, id model.NodeID, excluded *Exclusions) (Choice, bool) {
	at := now.UnixNano()
	g := p.group(s, candidates, at)
	for t := range g.tiers {
		for i := range g.tiers[t] {
			m := &g.tiers[t][i]
			if m.record.Node != id {
				continue
			}
			ok, trial := p.usable(m, nil, excluded, at)
			if !ok {
				return Choice{}, false
			}
			m.server.inFlight.Add(1)
			return Choice{Record: m.record, picker: p, group: g, member: m, server: m.server, trial: trial}, true
		}
	}
	return Choice{}, false
}

// choose searches the tiers from the nearest outwards and stops at the first member at which
// the request waits no longer than opts.MaxNearWait. A member of a farther tier is preferred
// only if the wait there is shorter by more than the tier's margin plus opts.MaxNearWait:
// crossing zones has a cost, which must be outweighed by a gain for the caller.
func (p *Picker) choose(g *group, excluded *Exclusions, opts PickOptions, at int64) (best *member, trial bool) {
	var bestWait time.Duration
	for t := range g.tiers {
		m, wait, trial := p.chooseInTier(g, g.tiers[t], excluded, opts, at)
		if m == nil && opts.NearestOnly && len(g.tiers[t]) > 0 {
			break
		}
		if m == nil {
			continue
		}
		if trial {
			return m, true
		}
		if best == nil || wait+p.margin(tier(t))+opts.MaxNearWait < bestWait {
			best, bestWait = m, wait
		}
		if wait <= opts.MaxNearWait || opts.NearestOnly {
			break
		}
	}
	return best, false
}

// margin returns how much shorter the wait at a server of a tier must be for it to be
// preferred to a nearer one.
func (p *Picker) margin(t tier) time.Duration {
	if t == tierFar {
		return p.cfg.RegionMargin
	}
	return p.cfg.SpillMargin
}

// chooseInTier returns the better of two randomly drawn members and the expected wait for a
// slot there, or an ejected member whose trial is due.
func (p *Picker) chooseInTier(g *group, members []member, excluded *Exclusions, opts PickOptions, at int64) (*member, time.Duration, bool) {
	a, trial := p.draw(members, nil, excluded, at)
	if a == nil {
		return nil, 0, false
	}
	loadA := a.server.loadPerSlot(&p.cfg, g, a, at)
	if trial {
		return a, 0, true
	}
	b := p.drawFast(g, a, members, excluded, at)
	if b == nil {
		b, trial = p.draw(members, a, excluded, at)
	}
	if trial {
		return b, 0, true
	}
	if b != nil {
		loadB := b.server.loadPerSlot(&p.cfg, g, b, at)
		if p.score(g, b, loadB, opts, at) < p.score(g, a, loadA, opts, at) {
			a, loadA = b, loadB
		}
	}
	return a, p.slotWait(g, a, loadA, opts, at), false
}

// score returns the cost of sending a request to the member; lower is better. It is the
// load including the request itself, times the member's slowness and its host's slowdown, or
// the completion time if Config.ByCompletionTime applies.
func (p *Picker) score(g *group, m *member, load float64, opts PickOptions, at int64) float64 {
	s := m.server
	slow := s.slowness(&p.cfg, at) * s.slowdown(&p.cfg, at)
	if p.cfg.ByCompletionTime && g.stats.slowdownReported.Load() {
		return p.completionTime(g, m, load, opts, slow, at)
	}
	return (load + 1/float64(m.slots)) * slow
}

// completionTime returns the expected time, in nanoseconds, that the request takes at the
// member: the wait for a slot plus its own latency. A report is out of date by the time the
// request arrives, so a wait is possible even before all slots are in use. It is estimated as
// the request's own latency times the probability that queueExponent slots are all in use,
// each with a probability equal to the load including this request.
func (p *Picker) completionTime(g *group, m *member, load float64, opts PickOptions, slow float64, at int64) float64 {
	slots := m.server.slotsOr(m.slots)
	latency := float64(g.meanLatency(opts.Work)) * slow
	serviceTime := float64(m.server.serviceTimeOr(g.meanLatency(opts.Work))) * m.server.slowdown(&p.cfg, at)
	waiting := max(0, load*slots+1-slots)
	allInUse := math.Pow(min(load+1/slots, 1), queueExponent)
	return latency*(1+allInUse) + waiting/slots*serviceTime
}

// queueExponent determines how steeply the expected wait rises with the load before all
// slots are in use.
const queueExponent = 2

// slotWait returns the expected time that a request waits for a slot at the member. It
// ignores the server's slowness: the latencies of healthy servers differ by a factor of two
// and more, and a server that is really slow has a queue. It includes the slowdown of the
// host, which lengthens the queued work.
func (p *Picker) slotWait(g *group, m *member, load float64, opts PickOptions, at int64) time.Duration {
	s := m.server
	slots := s.slotsOr(m.slots)
	waiting := max(0, load*slots+1-slots)
	serviceTime := float64(s.serviceTimeOr(g.meanLatency(opts.Work))) * s.slowdown(&p.cfg, at)
	return time.Duration(waiting / slots * serviceTime)
}

// drawFast returns a usable, recently fast member other than a. It returns nil if the one
// drawn isn't usable, in a tier below Config.FastMinTier, and for all but fastSetDraws of
// totalDraws draws.
func (p *Picker) drawFast(g *group, a *member, members []member, excluded *Exclusions, at int64) *member {
	if len(members) < p.cfg.FastMinTier || p.rand.IntN(totalDraws) >= fastSetDraws {
		return nil
	}
	m := g.fastSet[a.tier].draw(members, p.rand.IntN(fastSetSize))
	if m == nil || m.server.ejected() {
		return nil // trials are started by random draws only
	}
	if ok, _ := p.usable(m, a, excluded, at); !ok {
		return nil
	}
	return m
}

// draw returns a random usable member other than except, and whether it is picked for its
// trial; nil if no member is usable.
func (p *Picker) draw(members []member, except *member, excluded *Exclusions, at int64) (*member, bool) {
	n := len(members)
	if n == 0 {
		return nil, false
	}
	start := 0
	for range maxRandomDraws {
		start = p.rand.IntN(n)
		if ok, trial := p.usable(&members[start], except, excluded, at); ok {
			return &members[start], trial
		}
	}
	for i := range n {
		m := &members[(start+i)%n]
		if ok, trial := p.usable(m, except, excluded, at); ok {
			return m, trial
		}
	}
	return nil, false
}

// usable reports whether a request may be sent to the member, and whether that would be the
// member's trial. The member except is never usable. A trial that usable allows counts as
// started.
func (p *Picker) usable(m, except *member, excluded *Exclusions, at int64) (ok, trial bool) {
	if m == except || excluded.excludes(m.record) || m.held(at) {
		return false, false
	}
	if !m.server.ejected() {
		return m.zone.admit(&p.cfg, at), false
	}
	trial = m.zone.available(at) && m.server.startTrial(&p.cfg, at) && m.zone.admit(&p.cfg, at)
	return trial, trial
}

// lastResort returns a member that isn't excluded, even if it is ejected: a server that may
// be faulty is better than none. It skips members in unreachable zones without a due trial,
// where the caller would only wait in vain.
func (p *Picker) lastResort(g *group, excluded *Exclusions, at int64) *member {
	for t := range g.tiers {
		members := g.tiers[t]
		if len(members) == 0 {
			continue
		}
		start := p.rand.IntN(len(members))
		for i := range members {
			m := &members[(start+i)%len(members)]
			if !excluded.excludes(m.record) && !m.held(at) && m.zone.admit(&p.cfg, at) {
				return m
			}
		}
	}
	return nil
}
