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

// everything is what a node owns that comes first for all organisations.
var everything = map[string]struct{}{"o": {}}

func owned(now time.Time) *Ledger {
	l := NewLedger(cfg)
	l.Own(now, 1, map[string]model.Rate{"o": rate}, everything)
	return l
}

func ask(need int) Request { return Request{Organisation: "o", Rate: rate, Need: need} }

// What was let in before a ledger was lost still counts: a new one begins with little.
func TestNewLedgerBeginsWithLittle(t *testing.T) {
	l := owned(begin)
	must.LessEq(t, int(cfg.allowance(rate)*startPart), l.Ask(begin, ask(1000)).Tokens)
}

// Whatever is asked and given back, a zone lets in no more in a window than its part.
func TestLedgerKeepsTheBoundInAnyWindow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := owned(begin)
	type taken struct {
		at time.Time
		n  int
	}
	var all []taken
	now := begin
	for range 20_000 {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(5*time.Millisecond)))
		q := ask(r.IntN(4))
		q.Reserve = r.IntN(8)
		all = append(all, taken{now, l.Ask(now, q).Tokens})
	}
	part := cfg.part(rate)
	most := part.perSecond*cfg.Window.Seconds() + part.burst
	first, sum := 0, 0
	for _, x := range all {
		sum += x.n
		for x.at.Sub(all[first].at) >= cfg.Window {
			sum -= all[first].n
			first++
		}
		must.LessEq(t, most+1, float64(sum))
	}
	must.LessEq(t, cfg.allowance(rate)+float64(rate.Burst)+rate.PerSecond*cfg.Window.Seconds(), 3*most)
}

func TestLoweredQuotaBindsAtOnce(t *testing.T) {
	l := owned(begin)
	now := begin.Add(time.Minute)
	low := model.Rate{PerSecond: 3, Burst: 3}
	l.Own(now, 1, map[string]model.Rate{"o": low}, everything)
	q := ask(1000)
	q.Rate = low
	must.LessEq(t, int(cfg.part(low).burst), l.Ask(now, q).Tokens)
}

func TestRemovedQuotaLeavesNothing(t *testing.T) {
	l := owned(begin)
	l.Own(begin, 1, nil, everything)
	must.MapEmpty(t, l.entries)
}

// A ledger that moves goes to its new owner whole, and isn't used twice.
func TestLedgerMovesOnce(t *testing.T) {
	l := owned(begin)
	now := begin.Add(time.Minute)
	left := l.Own(now, 1, map[string]model.Rate{"o": rate}, nil)
	must.Eq(t, map[string]float64{"o": cfg.part(rate).burst}, left)
	other := owned(now)
	other.Receive(now, "o", rate, left["o"])
	must.Eq(t, int(cfg.part(rate).burst+cfg.start(rate)), other.Ask(now, ask(1000)).Tokens)
	must.MapEmpty(t, l.entries)
}

// A standby of an owner doesn't save up what the owner issues too.
func TestStandbySavesNothing(t *testing.T) {
	l := NewLedger(cfg)
	l.Ask(begin, ask(1000))
	later := begin.Add(time.Minute)
	must.LessEq(t, int(cfg.start(rate)), l.Ask(later, ask(1000)).Tokens)
}

func TestLenderKeepsWhatItsZoneNeeds(t *testing.T) {
	l := owned(begin)
	now := begin.Add(time.Minute)
	full := cfg.part(rate).burst
	lent := l.Lend(now, "o", rate, 1000)
	must.Eq(t, full/2, lent)
	must.Eq(t, int(full-lent), l.Ask(now, ask(1000)).Tokens)
	must.Less(t, 1, l.Lend(now, "o", rate, 1000))
}

func TestTokensThatNoNodeSendsAreNotTaken(t *testing.T) {
	l := owned(begin)
	for _, tokens := range []float64{-5, 0, math.Inf(1)} {
		l.Receive(begin, "o", rate, tokens)
	}
	must.Eq(t, int(cfg.start(rate)), l.Ask(begin, ask(1000)).Tokens)
}

// Those that are refused come back one after the other.
func TestPromisesFollowEachOther(t *testing.T) {
	l := owned(begin)
	l.Ask(begin, ask(1000))
	l = owned(begin)
	l.Ask(begin, ask(int(cfg.start(rate))))
	first, second := l.Ask(begin, ask(1)), l.Ask(begin, ask(1))
	must.Positive(t, first.After)
	must.Eq(t, first.After+first.Spacing, second.After)
	must.Eq(t, 100*time.Millisecond, first.Spacing)
}

func TestLeaseForgetsOldTokensAndOldQuotas(t *testing.T) {
	a := NewLease(rate)
	a.Put(begin, 2)
	must.True(t, a.Take(begin))
	must.False(t, a.Take(begin.Add(reserveTime)))
	must.Eq(t, 1, a.Request(begin.Add(reserveTime), "o", 1).Return)
	a.Put(begin, 2)
	a.Follow(model.Rate{PerSecond: 3, Burst: 3})
	must.False(t, a.Take(begin))
}

// Nodes that reach no owner let in most of what they would get of an even split.
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
	must.Between(t, 0.9*reducedPart*seconds*rate.PerSecond, float64(admitted), reducedPart*seconds*rate.PerSecond+cfg.allowance(rate)*evenSharePart+nodes/4)
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

// A node that has just started believes itself alone: it owns no ledger before it has seen
// its fleet.
func TestStartedNodeOwnsNoLedgerBeforeItKnowsItsFleet(t *testing.T) {
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

// Two halves of a zone that don't see each other issue no more than the zone together. Members
// that have been gone for long are no longer counted: the others bear their loss.
func TestNodeIssuesForTheMembersItSees(t *testing.T) {
	r := NewTracker("n0", "z", begin)
	r.Update(begin, table(5, 15))
	now := begin.Add(30 * time.Second)
	m := r.Update(now, table(5, 15))
	must.True(t, m.MayOwn(now))
	must.Eq(t, 0.25, m.Share)
	must.Eq(t, 20, m.Fleet)
	must.True(t, r.Changing())
	l := owned(begin)
	l.Own(now, m.Share, map[string]model.Rate{"o": rate}, everything)
	full := cfg.part(rate).burst
	must.Eq(t, int(full/4), l.Ask(now.Add(time.Second), ask(1000)).Tokens)
	must.Eq(t, 400*time.Millisecond, l.Ask(now.Add(time.Second), ask(1)).Spacing)
	later := begin.Add(2 * time.Minute)
	must.Eq(t, 1.0, r.Update(later, table(5, 15)).Share)
	must.False(t, r.Changing())
}

// The loss of a member moves its organisations only, to those that were their standbys.
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
