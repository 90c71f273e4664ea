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

// Core runs the roll-outs of all services at one node. It takes core.Tick, core.PeerUp,
// core.PeerDown, core.Received, restore.Restored, Ordered, Learned, Recorded, Counted and
// Servers. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	self        model.NodeID
	incarnation uint64
	now         time.Time
	out         []core.Action
	changed     bool

	table *rollout.Table
	runs  map[string]*run
	view  *endpoint.View
	peers *peerset.Set
	// life is the store's life since it came back from an older copy, at restoredAt: what it
	// held of roll-outs may be gone. 0 before.
	life       uint64
	restoredAt time.Time
	// pending are the services whose entries are to be passed on, and news the reports,
	// which were last passed on at newsAt.
	pending map[string]bool
	news    map[newsKey]news
	// counted is the last count beside this node.
	counted Counted
	newsAt  time.Time
	// reportAt and judgeAt are when these are due.
	reportAt, judgeAt time.Time
	sequence          uint64
}

// run is what this node does in one roll-out.
type run struct {
	revision  uint64
	phase     rollout.Phase
	allowance *Allowance
	evidence  *evidence
	cautious  bool
	// ended says that the old version's backend servers have been stopped.
	ended bool
	// before is the count beside this node when it began to report of the backend server
	// named instance.
	before   []rollout.Tally
	instance string
	// phaseAt is when the phase began here, and eligibleAt when there has been something
	// to write since.
	phaseAt, eligibleAt time.Time
	// row is the revision of the store's row, as far as it is known. It is not known at
	// first: the refused write tells what the order replaces.
	row     uint64
	writing bool
	retryAt time.Time
}

// judged reports whether the versions are being compared.
func (r *run) judged() bool { return r.phase == rollout.Canary || r.phase == rollout.Shifting }

// New returns the core of a node that knows of no roll-out.
func New(cfg Config, self model.NodeID, incarnation, seed uint64) *Core {
	if cfg.ExposeShare <= 0 {
		cfg.ExposeShare = DefaultExposeShare
	}
	return &Core{
		cfg: cfg, self: self, incarnation: incarnation,
		table:   rollout.NewTable(),
		runs:    make(map[string]*run),
		peers:   peerset.New(seed),
		pending: make(map[string]bool),
		news:    make(map[newsKey]news),
	}
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out, c.now, c.changed = nil, now, false
	c.handle(ev)
	c.flush()
	if c.changed {
		c.act(Changed{})
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
		c.restored(ev.Life)
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
		c.changed = c.changed || c.table.Len() > 0
	}
}

func (c *Core) received(from model.NodeID, m message.Message) {
	switch m := m.(type) {
	case *message.Rollouts:
		for _, e := range m.Entries {
			c.merge(e, false)
		}
		for i := range m.Reports {
			c.take(from, m.Reports[i])
		}
	case *message.RolloutsDigest:
		if m.Hash != c.table.Digest() {
			c.sendAll(from)
		}
	}
}

// merge takes what is known of a roll-out, and passes on what is news. found says that
// this node has found the fault that stops it.
func (c *Core) merge(e rollout.Entry, found bool) {
	service := e.Order.Service
	same := c.table.Same(c.now, e)
	if !c.table.Merge(c.now, e) {
		return
	}
	c.passOn(service)
	after, _ := c.table.Get(c.now, service)
	r := c.runs[service]
	switch {
	case r != nil && same:
		r.revision = after.Order.Revision
	case r == nil || r.revision != after.Order.Revision:
		r = c.begin(after)
	}
	if r.phase != after.Phase {
		r.phase, r.phaseAt, r.eligibleAt = after.Phase, c.now, c.now
		c.act(Turned{Entry: after, FoundHere: found})
	}
}

// passOn notes that something is news of a service's roll-out.
func (c *Core) passOn(service string) {
	c.pending[service] = true
	c.changed = true
}

// begin starts with a new order.
func (c *Core) begin(e rollout.Entry) *run {
	r := &run{
		revision: e.Order.Revision, phase: e.Phase, cautious: true,
		allowance: newAllowance(c.cfg.ExposeShare), evidence: newEvidence(),
		phaseAt: c.now, eligibleAt: c.now,
	}
	c.runs[e.Order.Service] = r
	c.act(Turned{Entry: e})
	return r
}

// take takes a report and passes it on where it is news.
func (c *Core) take(from model.NodeID, r rollout.Report) {
	run := c.runs[r.Service]
	if run == nil || run.revision != r.Revision || run.phase.Final() || !r.Valid() {
		return
	}
	if run.evidence.merge(c.now, r) {
		c.news[newsKey{r.Service, reporter{r.Reporter, r.Incarnation}}] = news{report: r, from: from}
	}
}

func (c *Core) tick() {
	if len(c.runs) == 0 {
		return
	}
	if !c.now.Before(c.reportAt) {
		c.reportAt = c.now.Add(reportInterval)
		c.report()
	}
	judge := !c.now.Before(c.judgeAt)
	if judge {
		c.judgeAt = c.now.Add(judgeInterval)
	}
	for _, service := range slices.Sorted(maps.Keys(c.runs)) {
		r := c.runs[service]
		if !r.phase.Final() {
			c.decide(service, r, judge)
		}
		c.keep(service, r)
		if r.phase == rollout.Succeeded && !r.ended && c.now.Sub(r.phaseAt) >= endedTime {
			r.ended, c.changed = true, true
		}
	}
	c.compare()
}

// Lanes returns which backend servers requests may be sent to.
func (c *Core) Lanes() *Lanes {
	l := &Lanes{services: make(map[string]*Lane, len(c.runs))}
	for service, r := range c.runs {
		e, _ := c.table.Get(c.now, service)
		var servers []endpoint.Record
		if c.view != nil {
			servers = c.view.Service(service)
		}
		l.services[service] = newLane(&e, c.table.Doubted(service), servers, r)
	}
	return l
}

// Running reports whether a service's roll-out has not ended.
func (c *Core) Running(service string) bool {
	r := c.runs[service]
	return r != nil && !r.phase.Final()
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }
