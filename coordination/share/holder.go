package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Holder is a node's side of the sharing. It reports the summed demand of the
// node and of those that report through it (its children), applies the grants
// that it receives and splits them among itself and the children. It takes
// Measured, Route, core.Tick, core.PeerUp, core.PeerDown and core.Received
// with Demand and Shares. On the reader it exchanges these messages with the
// Allocator: the driver delivers messages from the node to itself. It is not
// safe for concurrent use.
type Holder struct {
	cfg  Config
	self model.NodeID
	zone model.Zone

	upstream  model.NodeID
	zones     int
	members   int
	floor     float64
	term      uint64
	lastGrant time.Time // time of the last grant; set to now while the node has no demand

	ownDemand        map[string]Amount
	smoother         *smoother
	children         map[model.NodeID]*child
	reported         map[string]Amount // demand in the last report
	reportedInUse    map[string]Amount // grants in use in the last report
	joinReportDue    time.Time         // when to report additional nodes; zero: none to report
	emptyReports     int               // how many reports without items are still to be sent
	subtreeGrants    map[string]grant  // newest grants from upstream, for the whole subtree
	budget           ledger            // grants from upstream that may be in use, including replaced ones
	sequence         sequence          // of sent messages, both Demand and Shares
	codec            *deltaCodec
	receivedSequence uint64           // sequence of the newest grants from upstream
	appliedSequence  uint64           // sequence of the newest grants that the whole subtree keeps to
	childLedger      ledger           // grants to the children
	ownGrants        map[string]grant // this node's part of the grants
}

// child is a neighbour that reports its demand through this node.
type child struct {
	demand map[string]Amount
	inUse  map[string]Amount // grants in use
	nodes  uint32            // in the subtree
	hops   uint32            // longest path in the subtree, in links
	seen   time.Time
}

// emptyReportsAfterRouteChange is the number of reports that a node sends
// after a change of its upstream although it has neither demand nor grants. A
// new reader can end its grace period early only once all members have
// reported; without these reports it would not make new grants until all
// grants of an earlier reader have expired.
const emptyReportsAfterRouteChange = gatherIntervals + 2

// joinDelay is the delay before a node reports additional nodes behind it, so
// that nodes that start at the same time are reported together.
const joinDelay = 200 * time.Millisecond

// demandExpiryIntervals is the number of intervals for which a reported demand
// is valid.
const demandExpiryIntervals = 3

// NewHolder returns a Holder without grants.
func NewHolder(cfg Config, self model.NodeID, zone model.Zone) *Holder {
	return &Holder{
		cfg:           cfg,
		self:          self,
		zone:          zone,
		members:       max(cfg.ZoneMembers, 1),
		ownDemand:     make(map[string]Amount),
		children:      make(map[model.NodeID]*child),
		subtreeGrants: make(map[string]grant),
		budget:        make(ledger),
		childLedger:   make(ledger),
		ownGrants:     make(map[string]grant),
		codec:         newDeltaCodec(),
		smoother:      newSmoother(cfg.DecreaseWindow),
	}
}

// Step handles an event and returns the resulting actions.
func (h *Holder) Step(now time.Time, e core.Event) []core.Action {
	return h.codec.encode(h.self, h.step(now, e))
}

func (h *Holder) step(now time.Time, e core.Event) []core.Action {
	switch e := e.(type) {
	case Route:
		return h.applyRoute(now, e)
	case Measured:
		h.ownDemand = h.smoother.update(e.Items)
		h.dropStaleChildren(now)
		return h.sendReport(now)
	case core.Tick:
		return h.tick(now)
	case core.PeerUp:
		h.codec.forget(e.Record.Node)
	case core.PeerDown:
		delete(h.children, e.Node)
		h.codec.forget(e.Node)
	case core.Received:
		return h.receive(now, e)
	}
	return nil
}

func (h *Holder) receive(now time.Time, e core.Received) []core.Action {
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
	full, resync := h.codec.decodeDemand(from, m)
	if full == nil {
		return resync
	}
	return h.recordDemand(now, from, full)
}

// receiveShares applies grants from upstream. For a delta that can't be
// decoded it requests a full message. To a resync request it replies at once
// with a full report.
func (h *Holder) receiveShares(now time.Time, from model.NodeID, m *message.Shares) []core.Action {
	if from != h.upstream {
		return nil
	}
	if from == h.self {
		return h.applyShares(now, m)
	}
	full, resync := h.codec.decodeShares(h.self, from, h.zone, m)
	if full != nil {
		return h.applyShares(now, full)
	}
	if m.Resync {
		return h.sendReport(now)
	}
	return resync
}

// applyRoute records the next hop towards the reader and updates the floor.
// The number of members never decreases: a member that is no longer seen may
// be cut off and still use its share of the floor.
func (h *Holder) applyRoute(now time.Time, r Route) []core.Action {
	if h.upstream != r.Upstream {
		h.receivedSequence, h.appliedSequence = 0, 0
		h.emptyReports = emptyReportsAfterRouteChange
	}
	h.upstream = r.Upstream
	delete(h.children, r.Upstream)
	h.members = max(h.members, r.Members)
	h.zones = max(h.zones, r.Zones)
	return h.updateFloor(now)
}

// updateFloor sets the fraction of each limit that this node may always use:
// its share of the floor, or of the whole limit if there has been no grant for
// FallbackAfter, after which no reader can be active.
func (h *Holder) updateFloor(now time.Time) []core.Action {
	if h.lastGrant.IsZero() || len(h.ownDemand) == 0 {
		h.lastGrant = now
	}
	fraction := h.cfg.Floor
	if now.Sub(h.lastGrant) >= h.cfg.FallbackAfter {
		fraction = 1
	}
	floor := fraction / float64(max(h.zones, 1)) / float64(h.members)
	if floor == h.floor {
		return nil
	}
	h.floor = floor
	return []core.Action{SetFloor{Fraction: floor}}
}

func (h *Holder) tick(now time.Time) []core.Action {
	actions := h.expireGrants(now)
	if !h.joinReportDue.IsZero() && !now.Before(h.joinReportDue) {
		actions = append(actions, h.sendReport(now)...)
	}
	return actions
}

// expireGrants removes the grants that were not renewed in time.
func (h *Holder) expireGrants(now time.Time) []core.Action {
	h.childLedger.expire(now)
	h.budget.expire(now)
	maps.DeleteFunc(h.subtreeGrants, func(_ string, g grant) bool { return !now.Before(g.until) })
	actions := h.updateFloor(now)
	for _, limit := range slices.Sorted(maps.Keys(h.ownGrants)) {
		if !now.Before(h.ownGrants[limit].until) {
			delete(h.ownGrants, limit)
			actions = append(actions, ClearShare{Limit: limit})
		}
	}
	return actions
}

// recordDemand stores the demand of a child's subtree. It forwards demand on a
// limit that was not reported yet at once, so that the first use of a limit
// does not wait for the next interval at each hop.
func (h *Holder) recordDemand(now time.Time, from model.NodeID, m *message.Demand) []core.Action {
	previous := h.children[from]
	if previous == nil {
		h.childLedger.putInherited(from, inUseByLimit(m.Items), now.Add(h.cfg.TTL+h.cfg.Slack))
	}
	if h.joinReportDue.IsZero() && (previous == nil || previous.nodes < m.Nodes) {
		h.joinReportDue = now.Add(joinDelay)
	}
	h.childLedger.confirm(from, m.Applied)
	h.children[from] = &child{demand: demandByLimit(m.Items), inUse: inUseByLimit(m.Items), nodes: max(m.Nodes, 1), hops: m.Hops, seen: now}
	for _, item := range m.Items {
		if _, reported := h.reported[item.Limit]; !reported {
			return h.sendReport(now)
		}
	}
	return nil
}

// sendReport sends the demand and the grants in use of this subtree upstream.
func (h *Holder) sendReport(now time.Time) []core.Action {
	demand := maps.Clone(h.ownDemand)
	inUse := make(map[string]Amount, len(h.ownGrants))
	for limit, g := range h.ownGrants {
		inUse[limit] = g.amount
	}
	h.joinReportDue = time.Time{}
	nodes, hops := uint32(1), uint32(0)
	for _, c := range h.children {
		nodes += c.nodes
		hops = max(hops, c.hops+1)
		add(demand, c.demand)
		add(inUse, c.inUse)
	}
	lastReported, lastInUse := h.reported, h.reportedInUse
	h.reported, h.reportedInUse = make(map[string]Amount, len(demand)), make(map[string]Amount, len(inUse))
	if h.upstream == "" {
		return nil
	}
	if len(demand)+len(inUse) == 0 {
		if h.emptyReports == 0 {
			return nil
		}
		h.emptyReports--
	}
	if h.withinGrants(now) {
		h.appliedSequence = h.receivedSequence
		h.budget.confirm(h.self, h.appliedSequence)
	}
	d := &message.Demand{Zone: h.zone, Node: h.self, Nodes: nodes, Hops: hops, Applied: h.appliedSequence, Sequence: h.sequence.next(now)}
	add(demand, zeroAmounts(inUse))
	for _, limit := range slices.Sorted(maps.Keys(demand)) {
		h.reported[limit] = reportDemand(lastReported[limit], demand[limit])
		h.reportedInUse[limit] = reportInUse(lastInUse[limit], inUse[limit])
		d.Items = append(d.Items, demandItem(limit, h.reported[limit], h.reportedInUse[limit]))
	}
	return []core.Action{core.Send{To: h.upstream, Priority: message.Routine, Message: d}}
}

// withinGrants reports whether this node and its children keep to the newest
// grants, which is the case once no older, larger grant is live.
func (h *Holder) withinGrants(now time.Time) bool {
	for limit, g := range h.subtreeGrants {
		used := h.ownGrants[limit].amount.plus(h.childLedger.liveExcept(limit, h.self, now))
		if !used.within(g.amount) {
			return false
		}
	}
	return true
}

func (h *Holder) dropStaleChildren(now time.Time) {
	oldest := now.Add(-demandExpiryIntervals * h.cfg.Interval)
	maps.DeleteFunc(h.children, func(_ model.NodeID, c *child) bool { return c.seen.Before(oldest) })
}
