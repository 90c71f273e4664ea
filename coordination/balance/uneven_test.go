package balance

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// The uneven model simulates the backend servers of one zone in virtual time, with real gates
// in front of them and real pickers at the entry nodes. The service time of a request is its
// size divided by the server's speed, times the slowdown of the host when the request begins.
const (
	unevenServers = 8
	unevenSlots   = 10
	unevenSlow    = 2.5
	unevenMean    = 100 * time.Millisecond
	unevenTarget  = 350 * time.Millisecond
	unevenWarmup  = 3 * time.Second
	unevenRun     = 12 * time.Second
	unevenTrip    = 500 * time.Microsecond
)

// unevenVariant is one of the compared variants of the system.
type unevenVariant struct {
	name string
	// With reportsSlowdown the gates are given the slowdown of their hosts and report it.
	// With mayReroute they may also refuse a request because of it, so that it is sent to
	// another server.
	reportsSlowdown, mayReroute bool
	change                      func(*Config)
}

// uneven is one simulation with its counters.
type uneven struct {
	unevenVariant
	load   float64
	speeds []float64
	// slow reports whether the host of a server is slow at a time of the simulation.
	slow func(server int, at time.Duration) bool

	gates   [unevenServers]*gate.Gate
	records []endpoint.Record
	service *model.Service
	began   time.Time

	total, inTime, late, refused, rerouted atomic.Int64
}

var unevenWork = model.Work{Kind: model.KindInteractive, Rank: 1, Target: unevenTarget}

// run runs the simulation and returns the fraction of requests that are answered in time.
func (u *uneven) run(t *testing.T, seed uint64, entries int) float64 {
	synctest.Test(t, func(t *testing.T) {
		u.began, u.service, u.records = time.Now(), service(0.5), records(unevenServers)
		capacity := 0.0
		for i := range u.gates {
			u.gates[i] = gate.New()
			u.gates[i].Update(gate.Limits{Slots: unevenSlots, Connections: unevenSlots, QueueLength: 4 * unevenSlots}, u.began)
			capacity += u.speeds[i%len(u.speeds)] * unevenSlots / unevenMean.Seconds()
		}
		pickers := make([]*Picker, entries)
		for e := range pickers {
			cfg := DefaultConfig()
			u.change(&cfg)
			pickers[e] = New(cfg, "z1", "r1", seed+uint64(e))
		}
		rnd := rand.New(rand.NewPCG(seed, 9))
		for time.Since(u.began) < unevenRun {
			time.Sleep(time.Duration(rnd.ExpFloat64() / (u.load * capacity) * float64(time.Second)))
			p, size := pickers[rnd.IntN(entries)], rnd.ExpFloat64()
			go u.request(p, size)
		}
		time.Sleep(10 * time.Second)
	})
	return float64(u.inTime.Load()) / float64(u.total.Load())
}

// request sends one request to up to maxExcluded gates, until one of them accepts it.
func (u *uneven) request(p *Picker, size float64) {
	began, answered, rerouted := time.Now(), false, false
	var tried Exclusions
	for range maxExcluded {
		c, err := p.PickFor(time.Now(), u.service, u.records, &tried, PickOptions{Work: unevenWork})
		if err != nil {
			break
		}
		sent := time.Now()
		r, reason := u.send(int(c.Record.Node[0]-'a'), size, began, u.mayReroute && !rerouted)
		r.Latency = time.Since(sent)
		c.Done(time.Now(), r)
		if answered = reason == ""; answered {
			break
		}
		if reason == outcome.ReasonHostSlow {
			u.rerouted.Add(1)
			rerouted = true
			continue
		}
		tried.Add(c.Record.Node)
	}
	if began.Sub(u.began) < unevenWarmup {
		return
	}
	u.total.Add(1)
	switch {
	case !answered:
		u.refused.Add(1)
	case time.Since(began) > unevenTarget:
		u.late.Add(1)
	default:
		u.inTime.Add(1)
	}
}

// send sends a request to a gate and returns the result, with the reason if the gate refused
// the request. reroutable allows the gate to refuse it because the host is slow.
func (u *uneven) send(server int, size float64, began time.Time, reroutable bool) (Result, outcome.Reason) {
	time.Sleep(unevenTrip)
	defer time.Sleep(unevenTrip)
	g, deadline := u.gates[server], began.Add(4*unevenTarget)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reason := g.Enter(ctx, gate.Request{Work: unevenWork, Deadline: deadline, Due: began.Add(unevenTarget), Reroutable: reroutable}, time.Now)
	if reason != "" {
		return Result{Outcome: Cancelled, Load: reportedLoad(g)}, reason
	}
	speed, slow, known := u.speeds[server%len(u.speeds)], u.slowness(server), g.Slowdown(time.Now())
	took := time.Duration(size * slow / speed * float64(unevenMean))
	time.Sleep(took)
	if u.reportsSlowdown {
		g.ReportSlowness(u.slowness(server)/speed, time.Now())
	}
	g.ReleaseSlowed(unevenWork, took, known, time.Now())
	return Result{Outcome: OK, Load: reportedLoad(g), Work: unevenWork, MeanServiceTime: g.Typical(unevenWork)}, ""
}

// slowness returns the current slowdown of a server's host.
func (u *uneven) slowness(server int) float64 {
	if u.slow(server, time.Since(u.began)) {
		return unevenSlow
	}
	return 1
}

// reportedLoad returns a gate's load as an entry node parses it from the header.
func reportedLoad(g *gate.Gate) *Load {
	l := g.Load()
	load := Load{Used: l.Used, Slots: l.Slots, Queued: l.Queued, MeanServiceTime: g.MeanServiceTime(), Slowdown: g.Slowdown(time.Now())}
	parsed, err := ParseLoad(load.String())
	if err != nil {
		panic(err)
	}
	return &parsed
}

// slowInTurn makes two hosts at a time slow, each pair for the duration d.
func slowInTurn(d time.Duration) func(int, time.Duration) bool {
	return func(server int, at time.Duration) bool {
		return int(at/d)%(unevenServers/2) == server/2
	}
}

// unevenVariants are the compared variants. The first is the baseline, the last the default.
var unevenVariants = []unevenVariant{
	{"not told", false, false, func(*Config) {}},
	{"weighted", true, false, func(c *Config) { c.ByCompletionTime = false }},
	{"completion", true, false, func(*Config) {}},
	{"weighted, sent on", true, true, func(c *Config) { c.ByCompletionTime = false }},
	{"completion, sent on", true, true, func(*Config) {}},
}

// More requests are answered in time if gates report that their hosts are temporarily slow,
// however long that lasts and whatever the speeds of the servers. With -compare it runs all
// variants, for docs/design/uneven-hosts.md.
func TestTemporarilySlowHostsAreAvoided(t *testing.T) {
	baseline, current := unevenVariants[0], unevenVariants[len(unevenVariants)-1]
	for _, load := range []float64{0.4, 0.65, 0.85, 1.1} {
		for _, duration := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
			for _, speeds := range [][]float64{{1}, {1.4, 1.4, 0.6}} {
				if !*compare && (load != 0.65 || duration != 300*time.Millisecond) {
					continue
				}
				got := make(map[string]float64)
				for _, variant := range unevenVariants {
					if !*compare && variant.name != baseline.name && variant.name != current.name {
						continue
					}
					for seed := range uint64(*seeds) {
						u := &uneven{unevenVariant: variant, load: load, speeds: speeds, slow: slowInTurn(duration)}
						got[variant.name] += u.run(t, seed+1, 40) / float64(*seeds)
					}
					t.Logf("load %.2f, hosts slow for %v, speeds %v, %-20s %.3f in time", load, duration, speeds, variant.name, got[variant.name])
				}
				if load == 0.65 {
					must.Greater(t, got[baseline.name]+0.015, got[current.name])
				}
			}
		}
	}
}

// Without reports of slowdowns, the default configuration makes the same choices as one that
// compares servers by load times slowness.
func TestServersAreComparedByLoadWithoutSlowdownReports(t *testing.T) {
	byLoad := DefaultConfig()
	byLoad.ByCompletionTime, byLoad.SlowdownTTL = false, 0
	a, b := New(DefaultConfig(), "z1", "r1", 7), New(byLoad, "z1", "r1", 7)
	s, rs, rnd := service(0.5), records(9), rand.New(rand.NewPCG(3, 4))
	for i := range 2000 {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		ca, errA := a.Pick(now, s, rs, nil)
		cb, errB := b.Pick(now, s, rs, nil)
		must.NoError(t, errA)
		must.NoError(t, errB)
		must.Eq(t, ca.Record.Node, cb.Record.Node)
		r := Result{Outcome: OK, Latency: time.Duration(rnd.IntN(200)+1) * time.Millisecond, Load: &Load{
			Used: rnd.IntN(11), Slots: 10, Queued: rnd.IntN(5), MeanServiceTime: 80 * time.Millisecond,
		}}
		ca.Done(now, r)
		cb.Done(now, r)
	}
}

// A host is avoided while a reported slowdown is recent, and gets requests again once the
// report has expired or a new one reports the usual speed.
func TestSlowdownReportExpires(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(2)
	report := func(now time.Time, slowdown float64) {
		for _, r := range rs {
			c, ok := p.PickNode(now, s, rs, r.Node, nil)
			must.True(t, ok)
			l := &Load{Used: 3, Slots: 10, MeanServiceTime: 100 * time.Millisecond}
			if r.Node == "a" {
				l.Slowdown = slowdown
			}
			c.Done(now, Result{Outcome: OK, Load: l, Latency: 100 * time.Millisecond, MeanServiceTime: 100 * time.Millisecond})
		}
	}
	report(start, 2.5)
	must.Eq(t, 0, counts(t, p, start, s, rs, 50)["a"])
	must.Positive(t, counts(t, p, at(p.cfg.SlowdownTTL), s, rs, 50)["a"])
	report(at(time.Second), 0)
	must.Positive(t, counts(t, p, at(time.Second), s, rs, 50)["a"])
}
