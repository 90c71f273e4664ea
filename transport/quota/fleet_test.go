package quota

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

func organisation(perSecond float64, burst int) *route.Organisation {
	return &route.Organisation{Name: "o", Quota: &model.Rate{PerSecond: perSecond, Burst: burst}}
}

const (
	fleet  = 62
	usual  = 0.6
	flood  = 7 * usual
	lasts  = 15 * time.Second
	few    = 2               // requests that may be refused besides
	settle = 6 * time.Second // ledgers fill and what was let in before no longer counts
)

// fleetCase is what a whole fleet goes through.
type fleetCase struct {
	name    string
	refused float64 // at most, in parts of what is asked
	run     func(b *bed, limit float64)
}

// The bound on all requests of a window, and what may be refused below the limit.
var cases = []fleetCase{
	{"flood, power is cut everywhere after a burst", 1, func(b *bed, limit float64) {
		time.AfterFunc(time.Second, func() { b.kill(time.Second, b.hosts...) })
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"usual use everywhere", 0.005, func(b *bed, limit float64) {
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"flood from everywhere", 1, func(b *bed, limit float64) {
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"flood from one node", 1, func(b *bed, limit float64) {
		b.demand("o", flood*limit, lasts, b.hosts[7])
	}},
	{"usual use at one node", 0.005, func(b *bed, limit float64) {
		b.demand("o", usual*limit, lasts, b.hosts[7])
	}},
	{"usual use moves to one zone", 0.005, func(b *bed, limit float64) {
		b.demand("o", usual*limit, lasts/3, b.hosts...)
		b.demand("o", usual*limit, lasts/3, b.zone("z1")...)
		b.demand("o", usual*limit, lasts/3, b.zone("z2")...)
	}},
	{"usual use, a zone is cut off", 0.01, func(b *bed, limit float64) {
		time.AfterFunc(lasts/3, func() { b.locked(func() { b.cut = "z1" }) })
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"flood, a zone is cut off and comes back", 1, func(b *bed, limit float64) {
		time.AfterFunc(lasts/3, func() { b.locked(func() { b.cut = "z1" }) })
		time.AfterFunc(2*lasts/3, func() { b.locked(func() { b.cut = "" }) })
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"flood, all nodes restart", 1, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.kill(600*time.Millisecond, b.hosts...) })
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"flood, half of the nodes restart twice", 1, func(b *bed, limit float64) {
		for _, at := range []time.Duration{lasts / 2, lasts/2 + 2*time.Second} {
			time.AfterFunc(at, func() { b.kill(600*time.Millisecond, b.hosts[:fleet/2]...) })
		}
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"usual use, half of the nodes restart", 0.06, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.kill(600*time.Millisecond, b.hosts[:fleet/2]...) })
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"usual use, owners are killed", 0.01, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.kill(0, b.owners()...) })
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"flood, owners are killed and come back", 1, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.kill(2*time.Second, b.owners()...) })
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"flood, an owner is cut off alone", 1, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.locked(func() { b.alone = b.owners()[0].id }) })
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"usual use, an owner is cut off alone", 0.02, func(b *bed, limit float64) {
		time.AfterFunc(lasts/2, func() { b.locked(func() { b.alone = b.owners()[0].id }) })
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"flood, a third of each zone is cut off", 1, func(b *bed, limit float64) {
		b.divide()
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"flood, a third of each zone is cut off later", 1, func(b *bed, limit float64) {
		time.AfterFunc(lasts/3, b.divide)
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
	{"usual use, a third of each zone is cut off", 0.03, func(b *bed, limit float64) {
		time.AfterFunc(lasts/3, b.divide)
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"usual use, a tenth of the messages is lost", 0.03, func(b *bed, limit float64) {
		b.loss = 0.1
		b.demand("o", usual*limit, lasts, b.hosts...)
	}},
	{"flood, a tenth of the messages is lost", 1, func(b *bed, limit float64) {
		b.loss = 0.1
		b.demand("o", flood*limit, lasts, b.hosts...)
	}},
}

// seed returns the seed of the cases; QUOTA_SEED plays others.
func seed(t *testing.T) uint64 {
	text := cmp.Or(os.Getenv("QUOTA_SEED"), "1")
	n, err := strconv.ParseUint(text, 10, 64)
	must.NoError(t, err)
	return n
}

func (b *bed) owners() []*host {
	var all []*host
	for _, zone := range []model.Zone{"z0", "z1", "z2"} {
		first, _ := b.hosts[0].limiter.members.Load().Owners(zone, "o")
		all = append(all, b.byID[first.Node])
	}
	return all
}

func (b *bed) bound(rate model.Rate) float64 {
	return (rate.PerSecond*b.cfg.Window.Seconds()+float64(rate.Burst))*(1+b.cfg.Over) + b.cfg.Slack
}

// result tells what came of a case. The bed must be locked.
func (b *bed) result(t *testing.T, name string, rate model.Rate, took time.Duration) {
	refusedPart := float64(b.refused[name]) / float64(max(1, b.asked[name]))
	t.Logf("worst window %d of %.0f (%.0f%%), asked %d, refused %.2f%%, %.2f messages a request, %.0f admitted a second of %.0f",
		b.worst(name, time.Time{}), b.bound(rate), 100*float64(b.worst(name, time.Time{}))/b.bound(rate), b.asked[name],
		100*refusedPart, float64(b.messages)/float64(max(1, b.asked[name])), float64(len(b.admitted[name]))/took.Seconds(), rate.PerSecond)
}

func TestFleetKeepsQuotas(t *testing.T) {
	quotas := []model.Rate{{PerSecond: 3, Burst: 3}, {PerSecond: 30, Burst: 60}, {PerSecond: 300, Burst: 300}}
	for _, rate := range quotas {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%g/%s", rate.PerSecond, tc.name), func(t *testing.T) {
				t.Parallel()
				tc.play(t, seed(t), rate)
			})
		}
	}
}

// play plays the case and checks the bound and what is refused.
func (tc fleetCase) play(t *testing.T, seed uint64, rate model.Rate) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(seed, fleet, organisation(rate.PerSecond, rate.Burst))
		time.Sleep(settle)
		tc.run(b, rate.PerSecond)
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.result(t, "o", rate, lasts)
		must.LessEq(t, b.bound(rate), float64(b.worst("o", time.Time{})))
		must.LessEq(t, tc.refused*float64(b.asked["o"])+few, float64(b.refused["o"]))
	})
}

// Requests below a small quota are refused where the owner of its ledger is gone and
// membership hasn't noticed yet. These cases were found with other seeds than the usual one.
func TestFewRequestsAreServedWhileAnOwnerIsGone(t *testing.T) {
	for _, found := range []struct {
		name string
		seed uint64
		rate model.Rate
	}{
		{"usual use, a third of each zone is cut off", 3, model.Rate{PerSecond: 3, Burst: 3}},
		{"usual use, an owner is cut off alone", 5, model.Rate{PerSecond: 3, Burst: 3}},
		{"usual use, owners are killed", 5, model.Rate{PerSecond: 30, Burst: 60}},
	} {
		at := slices.IndexFunc(cases, func(tc fleetCase) bool { return tc.name == found.name })
		must.NotEq(t, -1, at, must.Sprint(found.name))
		t.Run(found.name, func(t *testing.T) { cases[at].play(t, found.seed, found.rate) })
	}
}

// A limit that is lowered binds one window after the nodes know it, one that is raised or taken
// away lets requests in at once.
func TestQuotasFollowTheConfiguration(t *testing.T) {
	for _, perSecond := range []float64{30, 300} {
		synctest.Test(t, func(t *testing.T) {
			high, low := organisation(perSecond, int(perSecond)), organisation(perSecond/10, int(perSecond/10))
			b := newBed(2, fleet, high)
			time.Sleep(settle)
			go b.demand("o", flood*perSecond, 3*lasts, b.hosts...)
			time.Sleep(lasts)
			b.configure(low)
			time.Sleep(spread)
			lowered := time.Now()
			time.Sleep(lasts)
			admitted := 0
			b.locked(func() {
				must.LessEq(t, b.bound(*low.Quota), float64(b.worst("o", lowered)))
				must.LessEq(t, b.bound(*high.Quota), float64(b.worst("o", time.Time{})))
				admitted = len(b.admitted["o"])
			})
			b.configure(high)
			time.Sleep(spread)
			raised := time.Now()
			time.Sleep(lasts - 2*spread)
			got := 0.0
			b.locked(func() { got = float64(len(b.admitted["o"])-admitted) / time.Since(raised).Seconds() })
			t.Logf("%.0f admitted a second after it was raised to %.0f", got, perSecond)
			must.GreaterEq(t, 0.95*perSecond, got)
			time.Sleep(settle)
			b.configure(&route.Organisation{Name: "o"})
			time.Sleep(spread)
			for _, h := range b.hosts {
				held := false
				h.limiter.queues.Range(func(_, _ any) bool { held = true; return false })
				must.False(t, held)
			}
		})
	}
}

// spread is how long it takes until all nodes know a configuration.
const spread = 600 * time.Millisecond

// Callers that come back when they are told find a token: the times that are told are spread
// over as long as it takes to issue for all.
func TestRefusedAreToldWhenTokensCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(3, 12, organisation(30, 30))
		time.Sleep(settle)
		b.demand("o", 300, time.Second, b.hosts...)
		time.Sleep(100 * time.Millisecond)
		var back []time.Duration
		again, served := 0, 0
		b.locked(func() { back, served = slices.Clone(b.after), b.refused["o"] })
		must.Positive(t, len(back))
		for _, after := range back {
			must.Positive(t, after)
			must.LessEq(t, 10*time.Second, after) // 300 requests at 30 a second
		}
		for _, after := range back {
			if after > 5*time.Second {
				continue // these aren't promised a token of their own
			}
			again++
			h := b.hosts[again%len(b.hosts)]
			time.AfterFunc(after, func() { b.send(h, "o", true) })
		}
		time.Sleep(lasts)
		refused := 0
		b.locked(func() { refused = b.refused["o"] - served })
		t.Logf("%d came back, %d were refused again", again, refused)
		must.LessEq(t, again/4, refused)
	})
}

// While an organisation sends more than its quota allows, requests that can only be late don't
// take what those that can be in time would get.
func TestLateRequestsTakeNoScarceTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(4, 12, organisation(30, 30))
		time.Sleep(settle)
		go b.demand("o", 300, 4*time.Second, b.hosts...)
		time.Sleep(2 * time.Second)
		let, refused := 0, 0
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			if _, ok := b.hosts[let%len(b.hosts)].limiter.Take(t.Context(), b.limits["o"], true); ok {
				let++
			} else {
				refused++
			}
		}
		t.Logf("late: %d let in, %d refused", let, refused)
		must.LessEq(t, 5, let)
		time.Sleep(2 * time.Second)
		_, ok := b.hosts[0].limiter.Take(t.Context(), b.limits["o"], true)
		must.True(t, ok)
		time.Sleep(time.Second) // messages that are under way arrive
	})
}
