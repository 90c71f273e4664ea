package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/peerset"
	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Core is the state machine of one node for the roll-outs of all services. Its events are
// core.Tick, core.PeerUp, core.PeerDown, core.Received, restore.Restored, Ordered, Learned,
// Recorded, Counted and Servers. It is not safe for concurrent use.
type Core struct {
	cfg            Config
	self           model.NodeID
	incarnation    uint64
	now            time.Time
	out            []core.Action
	routingChanged bool

	table    *rollout.Table
	rollouts map[string]*localState
	view     *endpoint.View
	peers    *peerset.Set
	// epoch is the store's epoch as of its last restore from an older copy, at restoredAt; the
	// copy may lack records of roll-outs. It is 0 before the first restore.
	epoch      uint64
	restoredAt time.Time
	// pendingEntries holds the services whose entries are to be sent to the peers, and
	// pendingReports the reports to be forwarded. Both were last sent at flushedAt.
	pendingEntries map[string]bool
	pendingReports map[reportKey]pendingReport
	// counted is the latest count of the host's backend server.
	counted   Counted
	flushedAt time.Time
	// reportAt and judgeAt are when the next report and the next comparison are due.
	reportAt, judgeAt time.Time
	sequence          uint64
}

// localState is this node's state in one roll-out.
type localState struct {
	revision       uint64
	phase          rollout.Phase
	allowance      *Allowance
	evidence       *evidence
	repeatableOnly bool
	// exclusionOver is set once the old version's backend servers have had time to stop after
	// a success, and backend servers of all versions may be used again.
	exclusionOver bool
	// baseline holds the tallies of the backend server named instance when this node began to
	// report them. Reports contain what was counted since.
	baseline []rollout.Tally
	instance string
	// phaseAt is when the phase began at this node, and dueSince since when the phase's next
	// step has been due.
	phaseAt, dueSince time.Time
	// rowRevision is the last known revision of the store's row, or 0 if it is unknown, as it
	// is at first. A write that expects no row is then refused and returns the row that the
	// order replaces.
	rowRevision uint64
	writing     bool
	retryAt     time.Time
}

// comparing reports whether the versions are being compared.
func (r *localState) comparing() bool {
	return r.phase == rollout.Canary || r.phase == rollout.Shifting
}

// New returns a Core without roll-outs. seed drives the random choice of peers.
func New(cfg Config, self model.NodeID, incarnation, seed uint64) *Core {
	if cfg.ExposeShare <= 0 {
		cfg.ExposeShare = DefaultExposeShare
	}
	return &Core{
		cfg: cfg, self: self, incarnation: incarnation,
		table:          rollout.NewTable(),
		rollouts:       make(map[string]*localState),
		peers:          peerset.New(seed),
		pendingEntries: make(map[string]bool),
		pendingReports: make(map[reportKey]pendingReport),
	}
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out, c.now, c.routingChanged = nil, now, false
	c.handle(ev)
	c.flush()
	if c.routingChanged {
		c.act(RoutingChanged{})
	}
	return c.out
}

func (c *Core) handle(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		c.tick()
	case core.PeerUp:
		c.peers.Up(ev.Record.Node)
		c.sendAll(ev.Record.Node)
	case core.PeerDown:
		c.peers.Down(ev.Node)
	case core.Received:
		c.received(ev.From, ev.Message)
	case restore.Restored:
		c.restored(ev.Epoch)
	case Ordered:
		c.merge(rollout.Entry{Order: ev.Order}, false)
	case Learned:
		for _, e := range ev.Entries {
			c.merge(e, false)
		}
	case Recorded:
		c.recorded(ev)
	case Counted:
		c.counted = ev
	case Servers:
		c.view = ev.View
		c.routingChanged = c.routingChanged || c.table.Len() > 0
	}
}

func (c *Core) received(from model.NodeID, m message.Message) {
	switch m := m.(type) {
	case *message.Rollouts:
		for _, e := range m.Entries {
			c.merge(e, false)
		}
		for i := range m.Reports {
			c.mergeReport(from, m.Reports[i])
		}
	case *message.RolloutsDigest:
		if m.Hash != c.table.Digest() {
			c.sendAll(from)
		}
	}
}

// merge merges an entry into the table. If that changes the table, it schedules the entry for
// the peers and adopts a new order or phase. foundHere is set if this node has found the
// fault that stops the roll-out.
func (c *Core) merge(e rollout.Entry, foundHere bool) {
	service := e.Order.Service
	same := c.table.Same(c.now, e)
	if !c.table.Merge(c.now, e) {
		return
	}
	c.markPending(service)
	after, _ := c.table.Get(c.now, service)
	r := c.rollouts[service]
	switch {
	case r != nil && same:
		r.revision = after.Order.Revision
	case r == nil || r.revision != after.Order.Revision:
		r = c.begin(after)
	}
	if r.phase != after.Phase {
		r.phase, r.phaseAt, r.dueSince = after.Phase, c.now, c.now
		c.act(PhaseChanged{Entry: after, FoundHere: foundHere})
	}
}

// markPending schedules a service's entry for the peers.
func (c *Core) markPending(service string) {
	c.pendingEntries[service] = true
	c.routingChanged = true
}

// begin replaces the local state of a service's roll-out by that of a new order.
func (c *Core) begin(e rollout.Entry) *localState {
	r := &localState{
		revision: e.Order.Revision, phase: e.Phase, repeatableOnly: true,
		allowance: newAllowance(c.cfg.ExposeShare), evidence: newEvidence(),
		phaseAt: c.now, dueSince: c.now,
	}
	c.rollouts[e.Order.Service] = r
	c.act(PhaseChanged{Entry: e})
	return r
}

// mergeReport adds a report to the evidence of its roll-out and, if it is new, schedules it
// for the other peers.
func (c *Core) mergeReport(from model.NodeID, r rollout.Report) {
	state := c.rollouts[r.Service]
	if state == nil || state.revision != r.Revision || state.phase.Final() || !r.Valid() {
		return
	}
	if state.evidence.merge(c.now, r) {
		c.pendingReports[reportKey{r.Service, reporter{r.Reporter, r.Incarnation}}] = pendingReport{report: r, from: from}
	}
}

func (c *Core) tick() {
	if len(c.rollouts) == 0 {
		return
	}
	if !c.now.Before(c.reportAt) {
		c.reportAt = c.now.Add(reportInterval)
		c.reportCounts()
	}
	judge := !c.now.Before(c.judgeAt)
	if judge {
		c.judgeAt = c.now.Add(judgeInterval)
	}
	for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
		r := c.rollouts[service]
		if !r.phase.Final() {
			c.decide(service, r, judge)
		}
		c.rewriteRecord(service, r)
		if r.phase == rollout.Succeeded && !r.exclusionOver && c.now.Sub(r.phaseAt) >= oldExclusionTime {
			r.exclusionOver, c.routingChanged = true, true
		}
	}
	c.sendDigest()
}

// Routing returns the routing of all services that have had a roll-out.
func (c *Core) Routing() *RoutingTable {
	rt := &RoutingTable{services: make(map[string]*Routing, len(c.rollouts))}
	for service, r := range c.rollouts {
		e, _ := c.table.Get(c.now, service)
		var servers []endpoint.Record
		if c.view != nil {
			servers = c.view.Service(service)
		}
		rt.services[service] = newRouting(&e, c.table.Unresolved(service), servers, r)
	}
	return rt
}

// Running reports whether a service has a roll-out that has not ended.
func (c *Core) Running(service string) bool {
	r := c.rollouts[service]
	return r != nil && !r.phase.Final()
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }
