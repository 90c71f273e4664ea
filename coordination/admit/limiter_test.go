package admit

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

var start = time.Unix(1000, 0)

func contract(name string) *model.Contract {
	return &model.Contract{
		Organisation: name, Hosts: []string{name + ".example"}, HandledBy: model.SystemMesh,
		Rate: model.Rate{PerSecond: 1000, Burst: 1000}, Concurrency: 10, Weight: 1,
		Classes: []model.Class{
			{Name: "book", Kind: model.KindNonRepeatable, Reserve: 2, Weight: 3},
			{Name: "read", Kind: model.KindInteractive, Weight: 2},
			{Name: "bulk", Kind: model.KindBulk, Weight: 1, Concurrency: 4, Rate: &model.Rate{PerSecond: 10, Burst: 5}},
			{Name: "sync", Kind: model.KindEventual, Weight: 1},
		},
	}
}

func buildSnapshot(t *testing.T, version uint64, cs ...*model.Contract) *snapshot.Snapshot {
	entries := make(map[string]*snapshot.ContractEntry)
	for _, c := range cs {
		entries[c.Organisation] = &snapshot.ContractEntry{Revision: version, Contract: c}
	}
	s, err := snapshot.Build(version, entries, nil)
	must.NoError(t, err)
	return s
}

func newLimiter(t *testing.T, cfg Config, cs ...*model.Contract) *Limiter {
	l := New(cfg, 1)
	l.Update(buildSnapshot(t, 1, cs...))
	return l
}

func match(c *model.Contract, class string) snapshot.Match {
	for i := range c.Classes {
		if c.Classes[i].Name == class {
			return snapshot.Match{Contract: c, Class: &c.Classes[i]}
		}
	}
	return snapshot.Match{Contract: c, Class: &model.Class{Name: class}}
}

// admitUntilRefused admits requests until one is refused, and returns the permits
// and the refusal.
func admitUntilRefused(l *Limiter, now time.Time, m snapshot.Match) ([]Permit, *Refusal) {
	var permits []Permit
	for {
		p, r := l.Admit(now, m)
		if r != nil {
			return permits, r
		}
		permits = append(permits, p)
	}
}

func TestRateRefusalReturnsRetryAfter(t *testing.T) {
	c := contract("tabla")
	c.Concurrency = 1000
	c.Classes[2].Concurrency = 0
	l := newLimiter(t, DefaultConfig(), c)
	permits, r := admitUntilRefused(l, start, match(c, "bulk"))
	must.SliceLen(t, 5, permits)
	must.Eq(t, outcome.ReasonRateLimited, r.Reason)
	must.Between(t, 100*time.Millisecond, r.RetryAfter, 150*time.Millisecond)
	permits, _ = admitUntilRefused(l, start.Add(200*time.Millisecond), match(c, "bulk"))
	must.SliceLen(t, 2, permits)
	// A refusal by the organisation's rate returns the class's token to its bucket.
	c.Rate.Burst = 5
	l = newLimiter(t, DefaultConfig(), c)
	_, _ = admitUntilRefused(l, start, match(c, "read"))
	_, r = l.Admit(start, match(c, "bulk"))
	must.NotNil(t, r)
	permits, _ = admitUntilRefused(l, start.Add(5*time.Millisecond), match(c, "bulk"))
	must.SliceLen(t, 5, permits)
}

func TestConcurrencyReserveAndWeights(t *testing.T) {
	c := contract("tabla")
	l := newLimiter(t, DefaultConfig(), c)
	bulk, r := admitUntilRefused(l, start, match(c, "bulk"))
	must.SliceLen(t, 4, bulk) // the class's own concurrency limit
	must.Eq(t, outcome.ReasonConcurrency, r.Reason)
	reads, _ := admitUntilRefused(l, start, match(c, "read"))
	must.SliceLen(t, 4, reads) // the shared concurrency of 8, of which bulk uses 4
	books, _ := admitUntilRefused(l, start, match(c, "book"))
	must.SliceLen(t, 2, books) // the class's reserve
	for _, p := range append(append(bulk, reads...), books...) {
		p.Release(start)
	}
	must.Zero(t, l.inFlight.Load())
	must.Zero(t, l.findLimit("tabla").shared.Load())

	// With sync, bulk and read active, read has weight 2 of 4: it is refused
	// above half of the shared 8 once these are nearly used up, and sync is
	// still admitted.
	first, _ := l.Admit(start, match(c, "sync"))
	second, _ := l.Admit(start, match(c, "bulk"))
	_, _ = l.Admit(start, match(c, "read"))
	l.Tick()
	reads, _ = admitUntilRefused(l, start, match(c, "read"))
	must.Between(t, 3, len(reads), 4)
	_, r = l.Admit(start, match(c, "sync"))
	must.Nil(t, r)
	first.Release(start)
	second.Release(start)
}

func TestOverloadShedsTheLeastImportantFirst(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxInFlight = 100
	c := contract("tabla")
	c.Concurrency, c.Classes[2].Concurrency, c.Classes[2].Rate = 1000, 0, nil
	l := newLimiter(t, cfg, c)
	for _, want := range []struct {
		class string
		total int64
	}{{"sync", 70}, {"bulk", 80}, {"read", 95}, {"book", 100}} {
		_, r := admitUntilRefused(l, start, match(c, want.class))
		must.Eq(t, outcome.ReasonShed, r.Reason)
		must.Eq(t, want.total, l.inFlight.Load())
	}
}

func TestOverloadShedsOrganisationsOverTheirShareFirst(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxInFlight = 100
	big, small := contract("big"), contract("small")
	big.Concurrency, small.Concurrency = 1000, 1000
	small.Weight = 3
	l := newLimiter(t, cfg, big, small)
	for range 80 {
		_, r := l.Admit(start, match(big, "read"))
		must.Nil(t, r)
	}
	_, _ = l.Admit(start, match(small, "read"))
	l.Tick()
	_, _ = admitUntilRefused(l, start, match(big, "read"))
	must.Between(t, 85, l.inFlight.Load(), 86) // FairBand below the threshold of 95
	permits, _ := admitUntilRefused(l, start, match(small, "read"))
	must.GreaterEq(t, 9, len(permits))
}

func TestUpdateKeepsState(t *testing.T) {
	c := contract("tabla")
	l := newLimiter(t, DefaultConfig(), c)
	permits, _ := admitUntilRefused(l, start, match(c, "bulk"))
	changed := *c
	changed.Concurrency = 20
	l.Update(buildSnapshot(t, 2, &changed))
	_, r := l.Admit(start, match(&changed, "bulk"))
	must.NotNil(t, r) // the class's concurrency is still used up
	permits[0].Release(start)
	_, r = l.Admit(start, match(&changed, "bulk"))
	must.Nil(t, r)
	l.Update(buildSnapshot(t, 3))
	_, r = l.Admit(start, match(&changed, "read"))
	must.Eq(t, outcome.ReasonNoOrganisation, r.Reason)
	permits[1].Release(start)
}

func TestSharesAndFloor(t *testing.T) {
	c := contract("tabla")
	c.Rate = model.Rate{PerSecond: 100, Burst: 50}
	c.Concurrency, c.Classes[0].Reserve = 1000, 0
	l := newLimiter(t, DefaultConfig(), c)
	l.SetFloor(0.001)
	permits, r := admitUntilRefused(l, start, match(c, "read"))
	must.SliceLen(t, 1, permits) // one request, by MinBurst
	must.LessEq(t, 3*time.Second, r.RetryAfter)
	l.SetShare("tabla", Share{PerSecond: 20, Concurrency: 4})
	permits, _ = admitUntilRefused(l, start.Add(10*time.Second), match(c, "read"))
	must.SliceLen(t, 4, permits) // concurrency 5: 4 of the grant and 1 of the floor, which the first request still uses
	l.ClearShare("tabla")
	_, r = l.Admit(start.Add(11*time.Second), match(c, "read"))
	must.NotNil(t, r)
	l.SetShare("nobody", Share{})
	l.SetShare("tabla/none", Share{})
}

// TestThunderingHerdOnFloors sends 20 requests to each of 30 nodes without a grant
// at once, against a limit with a burst of 10. It bounds how far the fleet exceeds
// the burst: with MinBurst 1 by one request for each node, with MinBurst 0 only the
// floors' sum of one tenth of the burst is admitted, on average.
func TestThunderingHerdOnFloors(t *testing.T) {
	for _, c := range []struct {
		minBurst float64
		maximum  int
	}{{1, 30}, {0, 3}} {
		admitted := 0
		for seed := range uint64(30) {
			cfg := DefaultConfig()
			cfg.MinBurst = c.minBurst
			k := contract("tabla")
			k.Rate = model.Rate{PerSecond: 10, Burst: 10}
			l := New(cfg, seed)
			l.Update(buildSnapshot(t, 1, k))
			l.SetFloor(0.1 / 30)
			for range 20 {
				if _, r := l.Admit(start, match(k, "read")); r == nil {
					admitted++
				}
			}
		}
		t.Logf("MinBurst %v: %d admitted at once of 600, burst 10", c.minBurst, admitted)
		must.LessEq(t, c.maximum, admitted)
	}
}

func TestDemandCountsRefusedRequests(t *testing.T) {
	c := contract("tabla")
	l := newLimiter(t, DefaultConfig(), c)
	must.SliceEmpty(t, l.Demand(start))
	for i := range 100 {
		p, r := l.Admit(start, match(c, "bulk"))
		if r == nil && i < 4 {
			p.Release(start.Add(2 * time.Second))
		}
	}
	items := l.Demand(start.Add(10 * time.Second))
	must.SliceLen(t, 2, items)
	must.Eq(t, "tabla", items[0].Limit)
	must.Eq(t, "tabla/bulk", items[1].Limit)
	must.Eq(t, 10.0, items[1].PerSecond)
	must.Eq(t, 20.0, items[1].InFlight) // 10 per second, each in flight for 2 s
}

func TestFractionsOfConcurrencyRotate(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MinConcurrency = 0
	sum := 0.0
	for seed := range uint64(1000) {
		for second := range 10 {
			sum += float64(newLimit("tabla").slots(&cfg, 0.25, seed, start.Add(time.Duration(second)*time.Second)))
		}
	}
	must.Between(t, 2400.0, sum, 2600.0)
}

func BenchmarkAdmit(b *testing.B) {
	c := contract("tabla")
	c.Rate = model.Rate{PerSecond: 1e9, Burst: 1 << 30}
	c.Concurrency = 1 << 20
	s, _ := snapshot.Build(1, map[string]*snapshot.ContractEntry{"tabla": {Revision: 1, Contract: c}}, nil)
	l := New(DefaultConfig(), 1)
	l.Update(s)
	m := match(c, "read")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, _ := l.Admit(start, m)
			p.Release(start)
		}
	})
}

func TestConcurrencyIsExactUnderRace(t *testing.T) {
	c := contract("tabla")
	l := newLimiter(t, DefaultConfig(), c)
	var open, maximum atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				p, r := l.Admit(start, match(c, "read"))
				if r != nil {
					continue
				}
				if n := open.Add(1); n > maximum.Load() {
					maximum.Store(n)
				}
				open.Add(-1)
				p.Release(start)
			}
		})
	}
	wg.Wait()
	must.LessEq(t, 8, maximum.Load()) // concurrency 10 minus the reserve of 2
	must.Zero(t, l.inFlight.Load())
	must.Zero(t, l.findLimit("tabla").inFlight.Load())
	must.Zero(t, l.findLimit("tabla/read").inFlight.Load())
}
