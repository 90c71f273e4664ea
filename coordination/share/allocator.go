package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Allocator is the zone reader's side of the sharing: it grants its own
// Holder, which splits the grant over the zone, lends to other zones what the
// zone does not use, and asks them for what it lacks. It takes Lead, Follow,
// Limits, core.Tick and core.Received with Demand (of its own Holder or
// another zone's reader) and Shares (of another zone's reader). It is not safe
// for concurrent use.
type Allocator struct {
	cfg  Config
	self model.NodeID
	zone model.Zone

	limits  *snapshot.Snapshot
	leading bool
	lead    Lead
	quiet   time.Time // before it grants are only renewed
	unsure  time.Time // before it loans may be live that this reader does not know of
	next    time.Time
	settled bool // at least once

	sequence sequence

	own    claimant
	sure   map[string]Amount       // of what the own zone held when it was first seen
	asks   map[model.Zone]claimant // what other zones want to borrow
	loans  map[model.Zone]loan     // what they lent
	ledger ledger                  // grants to the own Holder and loans
	links  *links                  // to the other zones' readers
}

// claimant is the last demand of the own zone or another one.
type claimant struct {
	demand map[string]Amount
	held   map[string]Amount // grants in use
	nodes  uint32
	seen   time.Time
}

// loan is what another zone lends.
type loan struct {
	items    map[string]Amount
	until    time.Time
	sequence uint64
}

// NewAllocator returns an allocator that does not lead.
func NewAllocator(cfg Config, self model.NodeID, zone model.Zone) *Allocator {
	a := &Allocator{cfg: cfg, self: self, zone: zone, limits: snapshot.Empty()}
	a.reset()
	return a
}

func (a *Allocator) reset() {
	a.leading, a.settled = false, false
	a.own = claimant{}
	a.sure = make(map[string]Amount)
	a.asks = make(map[model.Zone]claimant)
	a.loans = make(map[model.Zone]loan)
	a.ledger = make(ledger)
	a.links = newLinks()
}

// Step takes an event and returns what to do.
func (a *Allocator) Step(now time.Time, e core.Event) []core.Action {
	return a.links.shorten(a.self, a.step(now, e))
}

func (a *Allocator) step(now time.Time, e core.Event) []core.Action {
	switch e := e.(type) {
	case Limits:
		a.limits = e.Snapshot
	case Lead:
		a.startLead(now, e)
	case Follow:
		a.reset()
	case core.PeerUp:
		a.links.forget(e.Record.Node)
	case core.PeerDown:
		a.links.forget(e.Node)
	case core.Received:
		return a.received(now, e)
	case core.Tick:
		if a.leading && !now.Before(a.next) {
			a.next = now.Add(a.cfg.Interval)
			return a.settle(now)
		}
	}
	return nil
}

// gatherIntervals is how many intervals a new reader waits for reports before
// its first grants; with a part of the reports it would take from those who
// reported.
const gatherIntervals = 2

// startLead begins with a quiet time: grants and loans of an earlier reader of
// the zone may be live that this one does not know of.
func (a *Allocator) startLead(now time.Time, e Lead) {
	if !a.leading {
		a.reset()
		a.leading = true
		a.quiet = now.Add(a.cfg.LoanTTL + a.cfg.Slack)
		a.unsure = a.quiet
		a.next = now.Add(gatherIntervals * a.cfg.Interval)
	}
	a.lead = e
}

func (a *Allocator) received(now time.Time, e core.Received) []core.Action {
	zone, known := a.zoneOf(e.From)
	if !a.leading || !known {
		return nil
	}
	switch m := e.Message.(type) {
	case *message.Demand:
		return a.receiveDemand(now, zone, e.From, m)
	case *message.Shares:
		return a.receiveShares(now, zone, e.From, m)
	}
	return nil
}

func (a *Allocator) receiveDemand(now time.Time, zone model.Zone, from model.NodeID, m *message.Demand) []core.Action {
	if from == a.self {
		a.demand(now, zone, from, m)
		return nil
	}
	whole, resync := a.links.demand(from, m)
	if whole != nil {
		a.demand(now, zone, from, whole)
	}
	return resync
}

func (a *Allocator) receiveShares(now time.Time, zone model.Zone, from model.NodeID, m *message.Shares) []core.Action {
	if zone == a.zone {
		return nil
	}
	whole, resync := a.links.shares(a.self, from, a.zone, m)
	if whole != nil {
		a.borrow(now, zone, whole)
	}
	return resync
}

// demand notes a demand. What a claimant that was not known reports to hold
// goes into the books, as granted by an earlier reader.
func (a *Allocator) demand(now time.Time, zone model.Zone, from model.NodeID, m *message.Demand) {
	c := claimant{demand: demanded(m.Items), held: held(m.Items), nodes: max(m.Nodes, 1), seen: now}
	a.ledger.confirm(from, m.Applied)
	knew := a.knowledge()
	if zone == a.zone {
		a.own = c
		a.noteHeld(now, sureOf(m.Hops))
		a.hurry(now, knew)
		return
	}
	if _, known := a.asks[zone]; !known {
		a.ledger.putAll(from, c.held, now.Add(a.cfg.LoanTTL+a.cfg.Slack))
	}
	a.asks[zone] = c
	a.hurry(now, knew)
}

// hurry brings the next grants forward when the last report of the zone or of
// all zones has come in that a new reader waited for.
func (a *Allocator) hurry(now time.Time, knew knowledge) {
	if a.settled && now.Before(a.quiet) && a.knowledge() != knew {
		a.next = now
	}
}

// noteHeld remembers in the quiet time the most that the own zone is sure to
// have held. Renewing no more than that keeps what earlier readers lent safe.
func (a *Allocator) noteHeld(now time.Time, sure float64) {
	if !now.Before(a.quiet) {
		return
	}
	for limit, h := range a.own.held {
		a.sure[limit] = a.sure[limit].larger(h.times(sure))
	}
}

func (a *Allocator) borrow(now time.Time, from model.Zone, m *message.Shares) {
	l := loan{items: make(map[string]Amount, len(m.Items)), sequence: m.Sequence}
	l.until = now.Add(time.Duration(m.TTLMillis) * time.Millisecond)
	for _, item := range m.Items {
		l.items[item.Limit] = Amount{item.PerSecond, item.Concurrency}
	}
	a.loans[from] = l
}

func (a *Allocator) zoneOf(id model.NodeID) (model.Zone, bool) {
	if id == a.self {
		return a.zone, true
	}
	for zone, reader := range a.lead.Readers {
		if reader == id {
			return zone, true
		}
	}
	return "", false
}

// settle grants, lends and asks once.
func (a *Allocator) settle(now time.Time) []core.Action {
	a.settled = true
	a.ledger.expire(now)
	a.dropSilent(now)
	a.endQuiet(now)
	out := newBatch(a.sequence.next(now))
	for _, limit := range a.inUse() {
		whole, ok := Total(a.limits, limit)
		if !ok {
			continue
		}
		part := whole.times((1 - a.cfg.Floor) / float64(max(a.lead.Zones, 1)))
		ids, plan := a.plan(now, limit, part)
		a.grant(now, limit, part, plan, out)
		a.lend(now, limit, part, ids, plan, out)
		a.ask(now, limit, part, out)
	}
	return out.actions(a, now)
}

// endQuiet ends the quiet time early once what earlier readers granted is
// known.
func (a *Allocator) endQuiet(now time.Time) {
	if all := (knowledge{zone: true, zones: true}); now.Before(a.quiet) && a.knowledge() == all {
		for limit, h := range a.own.held {
			a.ledger.put(limit, a.self, grant{amount: h, until: now.Add(a.cfg.TTL + a.cfg.Slack)})
		}
		a.quiet = now
	}
}

// knowledge says what a new reader knows of earlier grants.
type knowledge struct {
	zone  bool // all members of the own zone have reported
	zones bool // all other zones have reported
}

func (a *Allocator) knowledge() knowledge {
	return knowledge{
		zone:  int(a.own.nodes) >= max(a.lead.Members, a.cfg.ZoneMembers),
		zones: len(a.asks) >= a.lead.Zones-1,
	}
}

func (a *Allocator) dropSilent(now time.Time) {
	oldest := now.Add(-childIntervals * a.cfg.Interval)
	if a.own.seen.Before(oldest) {
		a.own = claimant{}
	}
	maps.DeleteFunc(a.asks, func(_ model.Zone, c claimant) bool { return c.seen.Before(oldest) })
}

// inUse returns the limits that anyone asks for, sorted.
func (a *Allocator) inUse() []string {
	names := make(map[string]bool)
	for limit := range a.own.demand {
		names[limit] = true
	}
	for _, c := range a.asks {
		for limit := range c.demand {
			names[limit] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
