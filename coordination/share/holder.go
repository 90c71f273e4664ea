package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Holder is a node's side of the sharing: it reports demand, its own and that
// of the nodes behind it, applies grants and splits them among those nodes. It
// takes Measured, Route, core.Tick, core.PeerDown and core.Received with
// Demand and Shares. On the reader it talks to the Allocator through messages
// from and to the node itself, which the driver hands over. It is not safe for
// concurrent use.
type Holder struct {
	cfg  Config
	self model.NodeID
	zone model.Zone

	upstream model.NodeID
	zones    int
	members  int
	floor    float64
	term     uint64
	heard    time.Time // last grant, or last moment without need of one

	own      map[string]Amount
	steady   *steady
	children map[model.NodeID]*child
	reported map[string]Amount // demand in the last report
	heldUp   map[string]Amount // grants in use in the last report
	soon     time.Time         // when to report more nodes than before; zero: with the next report
	greet    int               // reports still to be sent although they are empty
	held     map[string]grant  // newest grant from above, for the whole subtree
	budget   ledger            // all grants from above that are not replaced yet
	sequence sequence          // of messages of either kind
	links    *links
	received uint64 // sequence of the newest grants from above
	kept     uint64 // the same, once all nodes behind this one keep to them
	ledger   ledger
	applied  map[string]grant // this node's own part
}

// child is a neighbour that reports through this node.
type child struct {
	demand map[string]Amount
	held   map[string]Amount
	nodes  uint32
	hops   uint32
	seen   time.Time
}

// greetings is how many reports a node sends after its way up has changed
// although it asks for nothing and holds nothing. A reader that has just begun
// grants only once it has heard of all members; without them it would wait for
// all grants of an earlier reader to expire.
const greetings = gatherIntervals + 2

// joinDelay is how long a node waits before it reports that more nodes are
// behind it, so that those that begin together are reported together.
const joinDelay = 200 * time.Millisecond

// childIntervals is how many intervals a child's demand counts.
const childIntervals = 3

// NewHolder returns a holder without grants.
func NewHolder(cfg Config, self model.NodeID, zone model.Zone) *Holder {
	return &Holder{
		cfg:      cfg,
		self:     self,
		zone:     zone,
		members:  max(cfg.ZoneMembers, 1),
		own:      make(map[string]Amount),
		children: make(map[model.NodeID]*child),
		held:     make(map[string]grant),
		budget:   make(ledger),
		ledger:   make(ledger),
		applied:  make(map[string]grant),
		links:    newLinks(),
		steady:   newSteady(cfg.FallAfter),
	}
}

// Step takes an event and returns what to do.
func (h *Holder) Step(now time.Time, e core.Event) []core.Action {
	return h.links.shorten(h.self, h.step(now, e))
}

func (h *Holder) step(now time.Time, e core.Event) []core.Action {
	switch e := e.(type) {
	case Route:
		return h.route(now, e)
	case Measured:
		h.own = h.steady.measure(e.Items)
		h.dropSilent(now)
		return h.report(now)
	case core.Tick:
		return h.tick(now)
	case core.PeerUp:
		h.links.forget(e.Record.Node)
	case core.PeerDown:
		delete(h.children, e.Node)
		h.links.forget(e.Node)
	case core.Received:
		return h.message(now, e)
	}
	return nil
}

func (h *Holder) message(now time.Time, e core.Received) []core.Action {
	switch m := e.Message.(type) {
	case *message.Demand:
		return h.receiveDemand(now, e.From, m)
	case *message.Shares:
		return h.receiveShares(now, e.From, m)
	}
	return nil
}

func (h *Holder) receiveDemand(now time.Time, from model.NodeID, m *message.Demand) []core.Action {
	if m.Zone != h.zone || from == h.upstream || from == h.self {
		return nil
	}
	whole, resync := h.links.demand(from, m)
	if whole == nil {
		return resync
	}
	return h.demand(now, from, whole)
}

// receiveShares takes grants from upstream. One that can't be restored is
// asked for anew; a request for a whole report is answered at once.
func (h *Holder) receiveShares(now time.Time, from model.NodeID, m *message.Shares) []core.Action {
	if from != h.upstream {
		return nil
	}
	if from == h.self {
		return h.shares(now, m)
	}
	whole, resync := h.links.shares(h.self, from, h.zone, m)
	if whole != nil {
		return h.shares(now, whole)
	}
	if m.Resync {
		return h.report(now)
	}
	return resync
}

// route notes the way up and the size of the floor. The number of members only
// grows: a member that is not seen may be cut off and still use its floor.
func (h *Holder) route(now time.Time, r Route) []core.Action {
	if h.upstream != r.Upstream {
		h.received, h.kept = 0, 0
		h.greet = greetings
	}
	h.upstream = r.Upstream
	delete(h.children, r.Upstream)
	h.members = max(h.members, r.Members)
	h.zones = max(h.zones, r.Zones)
	return h.setFloor(now)
}

// setFloor sets this node's piece of each limit: of the floor, or of the whole
// limit where nobody has granted anything for so long that no reader can be
// there.
func (h *Holder) setFloor(now time.Time) []core.Action {
	if h.heard.IsZero() || len(h.own) == 0 {
		h.heard = now
	}
	part := h.cfg.Floor
	if now.Sub(h.heard) >= h.cfg.UngrantedAfter {
		part = 1
	}
	floor := part / float64(max(h.zones, 1)) / float64(h.members)
	if floor == h.floor {
		return nil
	}
	h.floor = floor
	return []core.Action{SetFloor{Part: floor}}
}

func (h *Holder) tick(now time.Time) []core.Action {
	actions := h.expire(now)
	if !h.soon.IsZero() && !now.Before(h.soon) {
		actions = append(actions, h.report(now)...)
	}
	return actions
}

// expire ends this node's grants that were not renewed.
func (h *Holder) expire(now time.Time) []core.Action {
	h.ledger.expire(now)
	h.budget.expire(now)
	maps.DeleteFunc(h.held, func(_ string, g grant) bool { return !now.Before(g.until) })
	actions := h.setFloor(now)
	for _, limit := range slices.Sorted(maps.Keys(h.applied)) {
		if !now.Before(h.applied[limit].until) {
			delete(h.applied, limit)
			actions = append(actions, ClearShare{Limit: limit})
		}
	}
	return actions
}

// demand notes what a neighbour's subtree asks for. A limit that was not
// reported yet goes up at once, so that first use does not wait at each hop.
func (h *Holder) demand(now time.Time, from model.NodeID, m *message.Demand) []core.Action {
	before := h.children[from]
	if before == nil {
		h.ledger.putAll(from, held(m.Items), now.Add(h.cfg.TTL+h.cfg.Slack))
	}
	if h.soon.IsZero() && (before == nil || before.nodes < m.Nodes) {
		h.soon = now.Add(joinDelay)
	}
	h.ledger.confirm(from, m.Applied)
	h.children[from] = &child{demand: demanded(m.Items), held: held(m.Items), nodes: max(m.Nodes, 1), hops: m.Hops, seen: now}
	for _, item := range m.Items {
		if _, reported := h.reported[item.Limit]; !reported {
			return h.report(now)
		}
	}
	return nil
}

// report sends the summed demand up, with the grants in use.
func (h *Holder) report(now time.Time) []core.Action {
	sum := maps.Clone(h.own)
	inUse := make(map[string]Amount, len(h.applied))
	for limit, g := range h.applied {
		inUse[limit] = g.amount
	}
	h.soon = time.Time{}
	nodes, hops := uint32(1), uint32(0)
	for _, c := range h.children {
		nodes += c.nodes
		hops = max(hops, c.hops+1)
		add(sum, c.demand)
		add(inUse, c.held)
	}
	last, lastHeld := h.reported, h.heldUp
	h.reported, h.heldUp = make(map[string]Amount, len(sum)), make(map[string]Amount, len(inUse))
	if h.upstream == "" {
		return nil
	}
	if len(sum)+len(inUse) == 0 {
		if h.greet == 0 {
			return nil
		}
		h.greet--
	}
	if h.settled(now) {
		h.kept = h.received
		h.budget.confirm(h.self, h.kept)
	}
	d := &message.Demand{Zone: h.zone, Node: h.self, Nodes: nodes, Hops: hops, Applied: h.kept, Sequence: h.sequence.next(now)}
	add(sum, zeroes(inUse))
	for _, limit := range slices.Sorted(maps.Keys(sum)) {
		h.reported[limit] = report(last[limit], sum[limit])
		h.heldUp[limit] = reportHeld(lastHeld[limit], inUse[limit])
		d.Items = append(d.Items, demandItem(limit, h.reported[limit], h.heldUp[limit]))
	}
	return []core.Action{core.Send{To: h.upstream, Priority: message.Routine, Message: d}}
}

// settled reports whether this node and those behind it keep to the newest
// grants: no older, larger one is live.
func (h *Holder) settled(now time.Time) bool {
	for limit, g := range h.held {
		used := h.applied[limit].amount.plus(h.ledger.others(limit, h.self, now))
		if !used.within(g.amount) {
			return false
		}
	}
	return true
}

func (h *Holder) dropSilent(now time.Time) {
	oldest := now.Add(-childIntervals * h.cfg.Interval)
	maps.DeleteFunc(h.children, func(_ model.NodeID, c *child) bool { return c.seen.Before(oldest) })
}
