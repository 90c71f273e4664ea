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

// Allocator is the zone reader's side of the sharing. It makes the zone's
// grants to its own Holder, which splits them over the zone. It lends other
// zones the unused part of its zone's share, and requests loans from them if
// its zone needs more than that share. It takes Lead, Follow, Limits,
// core.Tick, core.PeerUp, core.PeerDown and core.Received with Demand (of its
// own Holder or another zone's reader) and Shares (of another zone's reader).
// It is not safe for concurrent use.
type Allocator struct {
	cfg  Config
	self model.NodeID
	zone model.Zone

	limits            *snapshot.Snapshot
	leading           bool
	lead              Lead
	graceUntil        time.Time // end of the grace period, in which grants are only renewed
	unknownLoansUntil time.Time // until then loans to an earlier reader may be live that are not in loans
	nextAllocation    time.Time
	allocated         bool // whether allocate has run since Lead

	sequence sequence

	ownZone   claimant
	renewable map[string]Amount       // lower bound of the own zone's grants, renewed in the grace period
	borrowers map[model.Zone]claimant // last loan requests of other zones
	loans     map[model.Zone]loan     // loans from other zones
	ledger    ledger                  // grants to the own Holder and loans to other zones
	codec     *deltaCodec             // for messages with the other zones' readers
}

// claimant is the last reported demand of the own zone or of another zone.
type claimant struct {
	demand map[string]Amount
	inUse  map[string]Amount // grants in use
	nodes  uint32
	seen   time.Time
}

// loan is the set of amounts that another zone lends to this one.
type loan struct {
	items    map[string]Amount
	until    time.Time
	sequence uint64
}

// NewAllocator returns an Allocator that is not its zone's reader.
func NewAllocator(cfg Config, self model.NodeID, zone model.Zone) *Allocator {
	a := &Allocator{cfg: cfg, self: self, zone: zone, limits: snapshot.Empty()}
	a.reset()
	return a
}

func (a *Allocator) reset() {
	a.leading, a.allocated = false, false
	a.ownZone = claimant{}
	a.renewable = make(map[string]Amount)
	a.borrowers = make(map[model.Zone]claimant)
	a.loans = make(map[model.Zone]loan)
	a.ledger = make(ledger)
	a.codec = newDeltaCodec()
}

// Step handles an event and returns the resulting actions.
func (a *Allocator) Step(now time.Time, e core.Event) []core.Action {
	return a.codec.encode(a.self, a.step(now, e))
}

func (a *Allocator) step(now time.Time, e core.Event) []core.Action {
	switch e := e.(type) {
	case Limits:
		a.limits = e.Snapshot
	case Lead:
		a.startLeading(now, e)
	case Follow:
		a.reset()
	case core.PeerUp:
		a.codec.forget(e.Record.Node)
	case core.PeerDown:
		a.codec.forget(e.Node)
	case core.Received:
		return a.receive(now, e)
	case core.Tick:
		if a.leading && !now.Before(a.nextAllocation) {
			a.nextAllocation = now.Add(a.cfg.Interval)
			return a.allocate(now)
		}
	}
	return nil
}

// gatherIntervals is the number of intervals for which a new reader waits for
// reports before its first allocation. With only some of the reports it would
// reduce the grants of the nodes that have reported.
const gatherIntervals = 2

// startLeading starts the grace period: grants and loans of an earlier reader
// of the zone may be live that this reader has no record of.
func (a *Allocator) startLeading(now time.Time, e Lead) {
	if !a.leading {
		a.reset()
		a.leading = true
		a.graceUntil = now.Add(a.cfg.LoanTTL + a.cfg.Slack)
		a.unknownLoansUntil = a.graceUntil
		a.nextAllocation = now.Add(gatherIntervals * a.cfg.Interval)
	}
	a.lead = e
}

func (a *Allocator) receive(now time.Time, e core.Received) []core.Action {
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
		a.recordDemand(now, zone, from, m)
		return nil
	}
	full, resync := a.codec.decodeDemand(from, m)
	if full != nil {
		a.recordDemand(now, zone, from, full)
	}
	return resync
}

func (a *Allocator) receiveShares(now time.Time, zone model.Zone, from model.NodeID, m *message.Shares) []core.Action {
	if zone == a.zone {
		return nil
	}
	full, resync := a.codec.decodeShares(a.self, from, a.zone, m)
	if full != nil {
		a.recordLoan(now, zone, full)
	}
	return resync
}

// recordDemand stores the demand of the own zone or of another one. Grants in
// use in the first demand of another zone are loans from an earlier reader of
// this zone; they are added to the ledger.
func (a *Allocator) recordDemand(now time.Time, zone model.Zone, from model.NodeID, m *message.Demand) {
	c := claimant{demand: demandByLimit(m.Items), inUse: inUseByLimit(m.Items), nodes: max(m.Nodes, 1), seen: now}
	a.ledger.confirm(from, m.Applied)
	before := a.coverage()
	if zone == a.zone {
		a.ownZone = c
		a.recordRenewable(now, certainFraction(m.Hops))
		a.allocateEarly(now, before)
		return
	}
	if _, known := a.borrowers[zone]; !known {
		a.ledger.putInherited(from, c.inUse, now.Add(a.cfg.LoanTTL+a.cfg.Slack))
	}
	a.borrowers[zone] = c
	a.allocateEarly(now, before)
}

// allocateEarly brings the next allocation forward if the last report that a
// new reader waited for, from its own zone or from the other zones, has
// arrived in the grace period.
func (a *Allocator) allocateEarly(now time.Time, before coverage) {
	if a.allocated && now.Before(a.graceUntil) && a.coverage() != before {
		a.nextAllocation = now
	}
}

// recordRenewable records in the grace period the largest amount that the own
// zone is certain to have held. Renewing no more than that leaves the loans of
// earlier readers covered.
func (a *Allocator) recordRenewable(now time.Time, fraction float64) {
	if !now.Before(a.graceUntil) {
		return
	}
	for limit, inUse := range a.ownZone.inUse {
		a.renewable[limit] = a.renewable[limit].larger(inUse.times(fraction))
	}
}

func (a *Allocator) recordLoan(now time.Time, from model.Zone, m *message.Shares) {
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

// allocate makes the grants, loans and loan requests of one interval.
func (a *Allocator) allocate(now time.Time) []core.Action {
	a.allocated = true
	a.ledger.expire(now)
	a.dropStaleClaimants(now)
	a.endGrace(now)
	out := newBatch(a.sequence.next(now))
	for _, limit := range a.requestedLimits() {
		fleetLimit, ok := FleetLimit(a.limits, limit)
		if !ok {
			continue
		}
		zoneShare := fleetLimit.times((1 - a.cfg.Floor) / float64(max(a.lead.Zones, 1)))
		ids, plan := a.planLoans(now, limit, zoneShare)
		a.grantOwnZone(now, limit, zoneShare, plan, out)
		a.lend(now, limit, zoneShare, ids, plan, out)
		a.requestLoans(now, limit, zoneShare, out)
	}
	return out.actions(a, now)
}

// endGrace ends the grace period early once all grants of earlier readers have
// been reported, and adds those of the own zone to the ledger.
func (a *Allocator) endGrace(now time.Time) {
	if complete := (coverage{ownZone: true, otherZones: true}); now.Before(a.graceUntil) && a.coverage() == complete {
		for limit, inUse := range a.ownZone.inUse {
			a.ledger.put(limit, a.self, grant{amount: inUse, until: now.Add(a.cfg.TTL + a.cfg.Slack)})
		}
		a.graceUntil = now
	}
}

// coverage describes which of the reports that list the grants of earlier
// readers a new reader has received.
type coverage struct {
	ownZone    bool // all members of the own zone have reported
	otherZones bool // all other zones have reported
}

func (a *Allocator) coverage() coverage {
	return coverage{
		ownZone:    int(a.ownZone.nodes) >= max(a.lead.Members, a.cfg.ZoneMembers),
		otherZones: len(a.borrowers) >= a.lead.Zones-1,
	}
}

func (a *Allocator) dropStaleClaimants(now time.Time) {
	oldest := now.Add(-demandExpiryIntervals * a.cfg.Interval)
	if a.ownZone.seen.Before(oldest) {
		a.ownZone = claimant{}
	}
	maps.DeleteFunc(a.borrowers, func(_ model.Zone, c claimant) bool { return c.seen.Before(oldest) })
}

// requestedLimits returns the limits with demand from any zone, sorted.
func (a *Allocator) requestedLimits() []string {
	names := make(map[string]bool)
	for limit := range a.ownZone.demand {
		names[limit] = true
	}
	for _, c := range a.borrowers {
		for limit := range c.demand {
			names[limit] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
