package balance

import "time"

// nodesPerProbe is the number of nodes of a fleet for which Config.ProbeInterval holds. In a
// larger fleet each node probes less often, so that a server gets as many probes in all.
const nodesPerProbe = 4

// SetNodes sets the number of nodes in the fleet.
func (p *Picker) SetNodes(n int) { p.nodes.Store(int64(n)) }

// probeInterval returns the time between two requests of this node to a server that has few
// slots. A request that isn't repeatable probes only if no other has for as long again.
func (p *Picker) probeInterval(repeatable bool) time.Duration {
	d := p.cfg.ProbeInterval * time.Duration(max(1, p.nodes.Load()/nodesPerProbe))
	if !repeatable {
		return 2 * d
	}
	return d
}

// probe returns a server of the nearest tier that had few slots when it last reported and got no
// request of this node for the probe interval; nil if there is none. A gate offers few slots
// while its backend server limits its rate. Only a response shows that the limit has ended, and
// by its load alone such a server gets no request as long as the others have room.
func (p *Picker) probe(g *group, excluded *Exclusions, opts PickOptions, at int64) *member {
	if !opts.MayProbe || !g.stats.reduced.Load() {
		return nil
	}
	t := 0
	for t < numTiers-1 && len(g.tiers[t]) == 0 {
		t++
	}
	reduced := false
	for i := range g.tiers[t] {
		m := &g.tiers[t][i]
		if !m.reduced() {
			continue
		}
		reduced = true
		if at-m.server.sentAt.Load() < int64(p.probeInterval(opts.Repeatable)) || m.server.ejected() {
			continue
		}
		if ok, _ := p.usable(m, nil, excluded, at); ok {
			return m
		}
	}
	if !reduced {
		g.stats.reduced.Store(false)
	}
	return nil
}
