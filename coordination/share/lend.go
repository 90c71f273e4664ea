package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// need returns the amount of a limit that the own zone keeps before it lends.
func (a *Allocator) need(limit string) Amount {
	return a.ownZone.demand[limit].times(a.cfg.LoanHeadroom)
}

// planLoans returns the readers that request loans and the planned loan to
// each. The loans divide what is left of the zone's share after LoanReserve
// and the zone's need. Nothing is lent in the grace period.
func (a *Allocator) planLoans(now time.Time, limit string, zoneShare Amount) ([]model.NodeID, []Amount) {
	if now.Before(a.graceUntil) {
		return nil, nil
	}
	var ids []model.NodeID
	var claims []claim
	for _, zone := range slices.Sorted(maps.Keys(a.borrowers)) {
		reader, known := a.lead.Readers[zone]
		if want, requested := a.borrowers[zone].demand[limit]; requested && known {
			ids = append(ids, reader)
			claims = append(claims, claim{want: want, weight: 1})
		}
	}
	return ids, fill(zoneShare.times(1-a.cfg.LoanReserve).minus(a.need(limit)).nonNegative(), claims)
}

// grantOwnZone grants the own zone its demand times Headroom, limited to its
// share minus the live and planned loans to other zones, plus the usable loans
// from them. In the grace period it only renews grants that the zone reports
// to hold.
func (a *Allocator) grantOwnZone(now time.Time, limit string, zoneShare Amount, plan []Amount, out *batch) {
	demand, requested := a.ownZone.demand[limit]
	if !requested {
		return
	}
	lent := a.ledger.liveExcept(limit, a.self, now)
	free := zoneShare.minus(lent.larger(sumAmounts(plan)))
	for zone := range a.loans {
		free = free.plus(a.usableLoan(now, zone, limit))
	}
	g := demand.times(a.cfg.Headroom).smaller(free.nonNegative())
	if now.Before(a.graceUntil) {
		g = g.smaller(a.renewable[limit])
	}
	g = g.roundDown()
	a.ledger.put(limit, a.self, grant{g, now.Add(a.cfg.TTL + a.cfg.Slack), out.sequence})
	out.addShare(a.self, limit, g)
}

func sumAmounts(amounts []Amount) Amount {
	var sum Amount
	for _, a := range amounts {
		sum = sum.plus(a)
	}
	return sum
}

// usableLoan returns the amount that another zone lends, or zero if the loan
// ends before a grant made now would, Slack included.
func (a *Allocator) usableLoan(now time.Time, from model.Zone, limit string) Amount {
	l := a.loans[from]
	if l.until.Before(now.Add(a.cfg.TTL + a.cfg.Slack)) {
		return Amount{}
	}
	return l.items[limit]
}

// lend makes the planned loans as far as the live grants allow. Capacity that
// the own zone still holds is lent only once those grants have expired.
func (a *Allocator) lend(now time.Time, limit string, zoneShare Amount, ids []model.NodeID, plan []Amount, out *batch) {
	for i, g := range plan {
		free := zoneShare.minus(a.ledger.liveExcept(limit, ids[i], now)).nonNegative()
		g = g.smaller(free).roundDown()
		a.ledger.put(limit, ids[i], grant{g, now.Add(a.cfg.LoanTTL + a.cfg.Slack), out.sequence})
		out.addShare(ids[i], limit, g)
	}
}

// requestLoans requests loans for the own zone's deficit: from each other zone
// the amount that it lends already and an even share of the missing rest. If
// the loans exceed the deficit, all requests are reduced in proportion.
func (a *Allocator) requestLoans(now time.Time, limit string, zoneShare Amount, out *batch) {
	lent := a.ledger.liveExcept(limit, a.self, now)
	deficit := a.need(limit).minus(zoneShare.minus(lent)).nonNegative()
	var total Amount
	for zone := range a.lead.Readers {
		total = total.plus(a.usableLoan(now, zone, limit))
	}
	otherZones := float64(len(a.lead.Readers))
	unknown := a.unknownLoans(now, limit, zoneShare)
	for zone, reader := range a.lead.Readers {
		usable := a.usableLoan(now, zone, limit)
		want := Amount{
			PerSecond:   loanRequest(deficit.PerSecond, usable.PerSecond, total.PerSecond, otherZones),
			Concurrency: loanRequest(deficit.Concurrency, usable.Concurrency, total.Concurrency, otherZones),
		}
		borrowed := a.loans[zone].items[limit].larger(unknown)
		if deficit != (Amount{}) || borrowed != (Amount{}) {
			out.addDemand(reader, demandItem(limit, want, borrowed))
		}
	}
	if !a.ledger.live(limit, a.self, now).within(zoneShare.minus(lent).plus(total)) {
		out.exceedsLoans = true
	}
}

// unknownLoans returns the amount that the own zone holds in excess of its
// share, while loans to an earlier reader may be live. Any one of the other
// zones may have lent all of it.
func (a *Allocator) unknownLoans(now time.Time, limit string, zoneShare Amount) Amount {
	if !now.Before(a.unknownLoansUntil) {
		return Amount{}
	}
	return a.ownZone.inUse[limit].minus(zoneShare).nonNegative()
}

// loanRequest returns the amount to request from one zone in one dimension.
func loanRequest(deficit, usable, total, otherZones float64) float64 {
	if total >= deficit && total > 0 {
		return usable * deficit / total
	}
	return usable + (deficit-total)/otherZones
}
