package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// outage is a fault of owners that occurs about when a flood of requests begins, while ledgers and
// deposits are full.
type outage struct {
	name string
	run  func(b *testBed)
}

var outages = []outage{
	{"owners and standbys issue on two sides", func(b *testBed) {
		owners, standbys := b.owners(), b.standbys()
		b.withLock(func() {
			for i, h := range b.hosts {
				h.side = i%6 < 3
			}
			for i := range owners {
				owners[i].side, standbys[i].side = true, false
			}
		})
		b.partition()
	}},
	{"a third of each zone is cut off", func(b *testBed) { b.partition() }},
	{"an owner is cut off alone", func(b *testBed) { b.withLock(func() { b.isolated = b.owners()[0].id }) }},
	{"owners are killed", func(b *testBed) { b.kill(0, b.owners()...) }},
	{"owners are killed and come back", func(b *testBed) { b.kill(2*time.Second, b.owners()...) }},
	{"owners and standbys are killed and come back", func(b *testBed) {
		b.kill(2*time.Second, append(b.owners(), b.standbys()...)...)
	}},
	{"owners are killed, then their standbys", func(b *testBed) {
		standbys := b.standbys()
		b.kill(2*time.Second, b.owners()...)
		time.AfterFunc(2*time.Second, func() { b.kill(time.Second, standbys...) })
	}},
	{"all nodes restart", func(b *testBed) { b.kill(600*time.Millisecond, b.hosts...) }},
}

// standbys returns the standby of the organisation "o" in each zone.
func (b *testBed) standbys() []*host {
	var all []*host
	for _, zone := range []model.Zone{"z0", "z1", "z2"} {
		_, second := b.hosts[0].limiter.members.Load().Owners(zone, "o")
		all = append(all, b.byID[second.Node])
	}
	return all
}

// seeds returns the number of seeds with which each outage runs, which the environment variable
// QUOTA_SEEDS overrides.
func seeds(t *testing.T) uint64 {
	n, err := strconv.ParseUint(cmp.Or(os.Getenv("QUOTA_SEEDS"), "2"), 10, 64)
	must.NoError(t, err)
	return n
}

// lightUse is a load, in parts of the quota, at which ledgers and deposits become full.
const lightUse = 0.3

func TestBoundHoldsWhileOwnersAreGone(t *testing.T) {
	rates := []model.Rate{{PerSecond: 3, Burst: 3}, {PerSecond: 30, Burst: 60}, {PerSecond: 300, Burst: 300}}
	for _, rate := range rates {
		for _, o := range outages {
			for seed := range seeds(t) {
				t.Run(fmt.Sprintf("%g/%s/%d", rate.PerSecond, o.name, seed+1), func(t *testing.T) {
					t.Parallel()
					o.execute(t, seed+1, rate)
				})
			}
		}
	}
}

// execute starts a flood and the outage at nearly the same time; their order depends on the seed.
func (o outage) execute(t *testing.T, seed uint64, rate model.Rate) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed(seed, fleetNodes, organisation(rate.PerSecond, rate.Burst))
		b.sendRequests("o", lightUse*rate.PerSecond, settleTime, b.hosts...)
		time.AfterFunc(time.Duration(seed%10)*100*time.Millisecond, func() { o.run(b) })
		time.Sleep(time.Duration(seed%3) * 200 * time.Millisecond)
		b.sendRequests("o", floodLoad*rate.PerSecond, 2*settleTime, b.hosts...)
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.logResult(t, "o", rate, caseDuration)
		must.LessEq(t, b.windowBound(rate), float64(b.maxInWindow("o", time.Time{})))
	})
}

// A standby that replaces the owner of a small quota may have no token for its few requests. Over many
// seeds, the refusals must stay within the bounds of the fleetCases.
func TestSmallQuotasAreServedWhileOwnersAreGone(t *testing.T) {
	const perSecond, burst = 3, 3
	for _, name := range []string{
		"usual use, a third of each zone is cut off", "usual use, an owner is cut off alone", "usual use, owners are killed",
	} {
		at := slices.IndexFunc(fleetCases, func(tc fleetCase) bool { return tc.name == name })
		must.NotEq(t, -1, at, must.Sprint(name))
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requested, refused := 0, 0
			for seed := range 20 * seeds(t) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestBed(seed+1, fleetNodes, organisation(perSecond, burst))
					b.arrivals = rand.New(rand.NewPCG(seed+1, 2))
					time.Sleep(settleTime)
					fleetCases[at].run(b, perSecond)
					time.Sleep(time.Second)
					b.withLock(func() { requested, refused = requested+b.requested["o"], refused+b.refused["o"] })
				})
			}
			t.Logf("%d of %d refused", refused, requested)
			must.LessEq(t, fleetCases[at].refused*float64(requested), float64(refused))
		})
	}
}
