package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var (
	begin = time.Unix(1_000_000, 0)
	cfg   = Config{Zones: 3, Window: 5 * time.Second, Over: 0.1, Slack: 20}
	rate  = model.Rate{PerSecond: 30, Burst: 60}
)

// ownsAll is the set of owned organisations of a node that ranks first for all of them.
var ownsAll = map[string]struct{}{"o": {}}

func newOwner(now time.Time) *Ledger {
	l := NewLedger(cfg)
	l.SetOwned(now, 1, map[string]model.Rate{"o": rate}, ownsAll)
	return l
}

func request(need int) Request { return Request{Organisation: "o", Rate: rate, Need: need} }

// Requests that were admitted before a ledger was lost still count, so a new one starts with few
// tokens.
func TestNewLedgerStartsWithFewTokens(t *testing.T) {
	l := newOwner(begin)
	must.LessEq(t, int(cfg.allowance(rate)*initialFraction), l.Acquire(begin, request(1000)).Tokens)
}

// Whatever is requested, a zone grants no more than its part in any window.
func TestLedgerKeepsTheBoundInAnyWindow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := newOwner(begin)
	type grant struct {
		at time.Time
		n  int
	}
	var all []grant
	now := begin
	for range 20_000 {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(5*time.Millisecond)))
		q := request(r.IntN(4))
		q.Reserve = r.IntN(8)
		all = append(all, grant{now, l.Acquire(now, q).Tokens})
	}
	zone := cfg.ledgerSize(rate)
	limit := zone.perSecond*cfg.Window.Seconds() + zone.burst
	first, sum := 0, 0
	for _, x := range all {
		sum += x.n
		for x.at.Sub(all[first].at) >= cfg.Window {
			sum -= all[first].n
			first++
		}
		must.LessEq(t, limit+1, float64(sum))
	}
	must.LessEq(t, cfg.allowance(rate)+float64(rate.Burst)+rate.PerSecond*cfg.Window.Seconds(), 3*limit)
}

func TestLoweredQuotaAppliesAtOnce(t *testing.T) {
	l := newOwner(begin)
	now := begin.Add(time.Minute)
	low := model.Rate{PerSecond: 3, Burst: 3}
	l.SetOwned(now, 1, map[string]model.Rate{"o": low}, ownsAll)
	q := request(1000)
	q.Rate = low
	must.LessEq(t, int(cfg.ledgerSize(low).burst), l.Acquire(now, q).Tokens)
}

func TestRemovedQuotaRemovesEntry(t *testing.T) {
	l := newOwner(begin)
	l.SetOwned(begin, 1, nil, ownsAll)
	must.MapEmpty(t, l.entries)
}

// The tokens of a ledger move to its new owner completely, and can't be used a second time.
func TestLedgerTokensMoveToNewOwnerOnce(t *testing.T) {
	l := newOwner(begin)
	now := begin.Add(time.Minute)
	handover := l.SetOwned(now, 1, map[string]model.Rate{"o": rate}, nil)
	must.Eq(t, map[string]float64{"o": cfg.ledgerSize(rate).burst}, handover)
	other := newOwner(now)
	other.Receive(now, "o", rate, handover["o"])
	must.Eq(t, int(cfg.ledgerSize(rate).burst+cfg.initialTokens(rate)), other.Acquire(now, request(1000)).Tokens)
	must.MapEmpty(t, l.entries)
}

// A standby must not accumulate tokens that the owner issues too.
func TestIdleStandbyAccumulatesNothing(t *testing.T) {
	l := NewLedger(cfg)
	l.Acquire(begin, request(1000))
	later := begin.Add(time.Minute)
	must.LessEq(t, int(cfg.initialTokens(rate)), l.Acquire(later, request(1000)).Tokens)
}

func TestLenderKeepsWhatItsZoneNeeds(t *testing.T) {
	l := newOwner(begin)
	now := begin.Add(time.Minute)
	full := cfg.ledgerSize(rate).burst
	lent := l.Lend(now, "o", rate, 1000)
	must.Eq(t, full/2, lent)
	must.Eq(t, int(full-lent), l.Acquire(now, request(1000)).Tokens)
	must.Less(t, 1, l.Lend(now, "o", rate, 1000))
}

func TestInvalidTokenAmountsAreIgnored(t *testing.T) {
	l := newOwner(begin)
	for _, tokens := range []float64{-5, 0, math.Inf(1)} {
		l.Receive(begin, "o", rate, tokens)
	}
	must.Eq(t, int(cfg.initialTokens(rate)), l.Acquire(begin, request(1000)).Tokens)
}

// Refused requests get consecutive retry slots.
func TestRetrySlotsAreConsecutive(t *testing.T) {
	l := newOwner(begin)
	l.Acquire(begin, request(1000))
	l = newOwner(begin)
	l.Acquire(begin, request(int(cfg.initialTokens(rate))))
	first, second := l.Acquire(begin, request(1)), l.Acquire(begin, request(1))
	must.Positive(t, first.RetryAfter)
	must.Eq(t, first.RetryAfter+first.Spacing, second.RetryAfter)
	must.Eq(t, 100*time.Millisecond, first.Spacing)
}

func TestLeaseDropsExpiredTokensAndOldQuotas(t *testing.T) {
	a := NewLease(rate)
	a.Put(begin, 2)
	must.True(t, a.Take(begin))
	must.False(t, a.Take(begin.Add(reserveLifetime)))
	must.Eq(t, 1, a.Request(begin.Add(reserveLifetime), "o", 1).Return)
	a.Put(begin, 2)
	a.SetRate(model.Rate{PerSecond: 3, Burst: 3})
	must.False(t, a.Take(begin))
}

// Nodes that reach no owner together admit most of the reduced rate.
func TestEvenSharesAdmitTheirSum(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	const nodes, seconds = 62, 20
	admitted := 0
	for range nodes {
		a := NewLease(rate)
		for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / 7)) {
			if _, ok := a.TakeEvenShare(now, cfg, nodes, r.Float64()); ok {
				admitted++
			}
		}
	}
	must.Between(t, 0.9*reducedRateFraction*seconds*rate.PerSecond, float64(admitted), reducedRateFraction*seconds*rate.PerSecond+cfg.allowance(rate)*evenShareFraction+nodes/4)
}

func table(live, failed int) *endpoint.Table {
	t := endpoint.NewTable()
	for i := range live + failed {
		r := endpoint.Record{Node: model.NodeID(fmt.Sprintf("n%d", i)), Zone: "z", Incarnation: 1}
		if i >= live {
			r.Status, r.Died = endpoint.StatusFailed, begin.Unix()
		}
		t.Put(r)
	}
	return t
}

// A node that has just started sees no other member. It must not own ledgers before its view of
// the fleet has settled.
func TestStartedNodeOwnsNoLedgerBeforeMembersSettle(t *testing.T) {
	r := NewTracker("n0", "z", begin)
	must.False(t, r.Update(begin, table(1, 0)).MayOwn(begin.Add(time.Second)))
	now := begin.Add(time.Second)
	must.False(t, r.Update(now, table(10, 0)).MayOwn(now))
	m := r.Update(now.Add(100*time.Millisecond), table(20, 0))
	must.False(t, m.MayOwn(now.Add(350*time.Millisecond)))
	must.True(t, m.MayOwn(now.Add(400*time.Millisecond)))
	r.Update(now.Add(400*time.Millisecond), table(20, 0))
	must.False(t, r.Changing())
	must.True(t, r.Update(now.Add(time.Second), table(21, 0)).MayOwn(now.Add(time.Second)))
}

// Two halves of a zone that are partitioned from each other together issue no more than the whole
// zone. Members that failed long ago are no longer counted: the others issue their part.
func TestNodeIssuesForTheMembersItSees(t *testing.T) {
	r := NewTracker("n0", "z", begin)
	r.Update(begin, table(5, 15))
	now := begin.Add(30 * time.Second)
	m := r.Update(now, table(5, 15))
	must.True(t, m.MayOwn(now))
	must.Eq(t, 0.25, m.LiveFraction)
	must.Eq(t, 20, m.Fleet)
	must.True(t, r.Changing())
	l := newOwner(begin)
	l.SetOwned(now, m.LiveFraction, map[string]model.Rate{"o": rate}, ownsAll)
	full := cfg.ledgerSize(rate).burst
	must.Eq(t, int(full/4), l.Acquire(now.Add(time.Second), request(1000)).Tokens)
	must.Eq(t, 400*time.Millisecond, l.Acquire(now.Add(time.Second), request(1)).Spacing)
	later := begin.Add(2 * time.Minute)
	must.Eq(t, 1.0, r.Update(later, table(5, 15)).LiveFraction)
	must.False(t, r.Changing())
}

// The loss of a member moves only its own organisations, and each to its standby.
func TestOwnersMoveOnlyWithTheirMembers(t *testing.T) {
	r := NewTracker("n0", "z", begin)
	before, after := r.Update(begin, table(20, 0)), r.Update(begin, table(19, 1))
	owned := make(map[model.NodeID]int)
	for i := range 1000 {
		name := fmt.Sprint("o", i)
		first, second := before.Owners("z", name)
		must.NotEq(t, first.Node, second.Node)
		owned[first.Node]++
		now, _ := after.Owners("z", name)
		if first.Node == "n19" {
			first = second
		}
		must.Eq(t, first.Node, now.Node)
	}
	for _, n := range owned {
		must.Between(t, 20, n, 100)
	}
}

func BenchmarkTake(b *testing.B) {
	a := NewLease(rate)
	a.Put(begin, 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		if !a.Take(begin) {
			b.Fatal("no token")
		}
	}
}
