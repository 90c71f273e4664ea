package balance

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var start = time.Unix(1000, 0)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

func service(maxEjected float64) *model.Service {
	return &model.Service{Name: "foglalas", MaxEjected: maxEjected, SlowStart: model.Duration(10 * time.Second)}
}

// records returns n records of the nodes a, b, ... in the zone "z1".
func records(n int) []endpoint.Record {
	rs := make([]endpoint.Record, n)
	for i := range rs {
		rs[i] = endpoint.Record{Node: model.NodeID(rune('a' + i)), Zone: "z1", Region: "r1", Incarnation: 1, Service: "foglalas", Slots: 10}
	}
	return rs
}

func newPicker() *Picker { return New(DefaultConfig(), "z1", "r1", 1) }

// counts picks n times without load and returns how often each node was picked.
func counts(t *testing.T, p *Picker, now time.Time, s *model.Service, rs []endpoint.Record, n int) map[model.NodeID]int {
	got := make(map[model.NodeID]int)
	for range n {
		c, err := p.Pick(now, s, rs, nil)
		must.NoError(t, err)
		got[c.Record.Node]++
		c.Done(now, Result{Outcome: Cancelled})
	}
	return got
}

// finish picks until the node was picked n times. It ends these requests with the result and
// all others with OK.
func finish(t *testing.T, p *Picker, now time.Time, s *model.Service, rs []endpoint.Record, id model.NodeID, r Result, n int) {
	for tries := 0; n > 0 && tries < 10000; tries++ {
		c, err := p.Pick(now, s, rs, nil)
		must.NoError(t, err)
		if c.Record.Node != id {
			c.Done(now, Result{Outcome: OK, Latency: time.Millisecond})
			continue
		}
		c.Done(now, r)
		n--
	}
	must.Zero(t, n)
}

func TestParseLoad(t *testing.T) {
	l, err := ParseLoad("3/10/2")
	must.NoError(t, err)
	must.Eq(t, Load{Used: 3, Slots: 10, Queued: 2}, l)
	must.Eq(t, "3/10/2", l.String())
	for _, malformed := range []string{"", "3/10", "3/0/1", "-1/10/0", "3/10/x", "1/10/0/0", "99999999/10/0"} {
		_, err := ParseLoad(malformed)
		var want *LoadError
		must.True(t, errors.As(err, &want), must.Sprint(malformed))
	}
}

func TestNoEndpoint(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(2)
	var want *NoEndpointError
	_, err := p.Pick(start, s, nil, nil)
	must.True(t, errors.As(err, &want))
	var tried Exclusions
	tried.Add("a")
	c, err := p.Pick(start, s, rs, &tried)
	must.NoError(t, err)
	must.Eq(t, "b", c.Record.Node)
	tried.Add("b")
	_, err = p.Pick(start, s, rs, &tried)
	must.True(t, errors.As(err, &want))
	must.Eq(t, &NoEndpointError{Service: "foglalas", Candidates: 2, Tried: 2}, want)
	var zone Exclusions
	zone.AvoidZone("z1")
	_, err = p.Pick(start, s, rs, &zone)
	must.True(t, errors.As(err, &want))
}

func TestEjectionTrialAndFloor(t *testing.T) {
	cases := map[string]struct {
		result Result
		ejects bool
	}{
		"failed":                  {Result{Outcome: Failed}, true},
		"refused without a gate":  {Result{Outcome: NotRun}, true},
		"refused with free slots": {Result{Outcome: NotRun, Load: &Load{Used: 9, Slots: 10}}, true},
		"refused for overload":    {Result{Outcome: NotRun, Load: &Load{Used: 10, Slots: 10}}, false},
		"cancelled by the caller": {Result{Outcome: Cancelled}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, s, rs := newPicker(), service(0.25), records(4)
			for i := range 3 { // apart in time, so that the load report of a refusal has expired
				finish(t, p, at(time.Duration(i)*1100*time.Millisecond), s, rs, "a", c.result, 1)
			}
			must.Eq(t, c.ejects, counts(t, p, at(3400*time.Millisecond), s, rs, 200)["a"] == 0)
		})
	}
	p, s, rs := newPicker(), service(0.25), records(4)
	finish(t, p, start, s, rs, "a", Result{Outcome: Failed}, 3)
	finish(t, p, start, s, rs, "b", Result{Outcome: Failed}, 20)
	must.Positive(t, counts(t, p, at(time.Second), s, rs, 200)["b"]) // b stays: only one server may be ejected

	// After the ejection time one trial is allowed. Its failure doubles the ejection time.
	finish(t, p, at(3*time.Second), s, rs, "a", Result{Outcome: Failed}, 1)
	must.Zero(t, counts(t, p, at(6*time.Second), s, rs, 200)["a"])
	var trial Choice
	for trial.Record == nil || trial.Record.Node != "a" {
		trial, _ = p.Pick(at(8*time.Second), s, rs, nil)
	}
	must.Zero(t, counts(t, p, at(8*time.Second), s, rs, 200)["a"]) // only one trial at a time
	trial.Done(at(8*time.Second), Result{Outcome: OK, Latency: time.Millisecond})
	must.Positive(t, counts(t, p, at(30*time.Second), s, rs, 200)["a"])
}

func TestEjectionsEndWhenTheGroupShrinks(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(4)
	finish(t, p, start, s, rs, "a", Result{Outcome: Failed}, 3)
	finish(t, p, start, s, rs, "b", Result{Outcome: Failed}, 3)
	fewer := append([]endpoint.Record(nil), rs[:2]...)
	got := counts(t, p, at(time.Second), s, fewer, 100)
	must.MapLen(t, 1, got) // only one of the two may stay ejected
}

func TestColdServersStartSlowly(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(4)
	counts(t, p, start, s, rs, 1)
	next := append([]endpoint.Record(nil), rs...)
	next[0].Incarnation = 2
	share := func(d time.Duration) int {
		var inFlight []Choice
		n := 0
		for range 20 { // half of the slots are in use
			c, err := p.Pick(at(d), s, next, nil)
			must.NoError(t, err)
			if c.Record.Node == "a" {
				n++
			}
			inFlight = append(inFlight, c)
		}
		for _, c := range inFlight {
			c.Done(at(d), Result{Outcome: Cancelled})
		}
		return n
	}
	must.LessEq(t, 2, share(0))
	must.GreaterEq(t, 4, share(11*time.Second))
}

func TestZonesAreTakenNearestFirst(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(6)
	for i := 2; i < 6; i++ {
		rs[i].Zone = "z2"
	}
	rs[4].Region, rs[5].Region = "r2", "r2"
	got := counts(t, p, start, s, rs, 100)
	must.Eq(t, 100, got["a"]+got["b"])
	inFlight := make(map[model.Zone]int)
	for range 30 { // more than the 20 slots of the zone
		c, err := p.Pick(start, s, rs, nil)
		must.NoError(t, err)
		inFlight[c.Record.Zone+model.Zone(c.Record.Region)]++
	}
	must.GreaterEq(t, 18, inFlight["z1r1"])
	must.GreaterEq(t, 8, inFlight["z2r1"])
	must.Zero(t, inFlight["z2r2"])
	var tried Exclusions
	tried.AvoidZone("z1")
	c, err := p.Pick(start, s, rs, &tried)
	must.NoError(t, err)
	must.Eq(t, "z2", c.Record.Zone)
}

func TestPruneRemovesServersNotInTheView(t *testing.T) {
	p, s := newPicker(), service(0.5)
	table := endpoint.NewTable()
	for _, r := range records(3) {
		table.Put(r)
	}
	v := table.View()
	counts(t, p, start, s, v.Service("foglalas"), 1)
	must.MapLen(t, 3, p.servers)
	table.Delete("a")
	v = table.View()
	p.Prune(v)
	must.MapLen(t, 2, p.servers)
	p.Prune(endpoint.NewTable().View())
	must.MapEmpty(t, p.servers)
	must.MapEmpty(t, *p.groups.Load())
}

func TestPickAllocatesNothing(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(7)
	load := Load{Used: 1, Slots: 10}
	n := testing.AllocsPerRun(100, func() {
		c, _ := p.Pick(start, s, rs, nil)
		c.Done(start, Result{Latency: time.Millisecond, Load: &load})
	})
	must.Eq(t, 0, n)
}

func BenchmarkPick(b *testing.B) {
	p, s, rs := newPicker(), service(0.5), records(20)
	load := Load{Used: 1, Slots: 10}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := p.Pick(start, s, rs, nil)
			c.Done(start, Result{Latency: time.Millisecond, Load: &load})
		}
	})
}

func TestConcurrentUse(t *testing.T) {
	p, s := newPicker(), service(0.5)
	views := [][]endpoint.Record{records(6), records(5)}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 200 {
				c, err := p.Pick(at(time.Duration(n)*time.Millisecond), s, views[(i+n/50)%2], nil)
				if err != nil {
					t.Error(err)
					return
				}
				c.Done(at(time.Duration(n+1)*time.Millisecond), Result{Outcome: Outcome(n % 4), Load: &Load{Used: 10, Slots: 10}})
			}
		})
	}
	wg.Wait()
	for k, known := range p.servers {
		must.Zero(t, known.inFlight.Load(), must.Sprint(k))
	}
}

// A node of a large site sends few requests to each server. The mean latencies that gates
// report let it distinguish fast servers from slow ones all the same; the latencies of its own
// requests are too few for that.
func TestReportedMeansIdentifyFastServers(t *testing.T) {
	const nodes, picks = 100, 40 // each node sends each server five requests on average
	fast := func(id model.NodeID) bool { return (id[0]-'a')%2 == 0 }
	rng := rand.New(rand.NewPCG(1, 1))
	share := func(typical bool) float64 {
		got := 0
		for node := range uint64(nodes) {
			p, s, rs := New(DefaultConfig(), "z1", "r1", node), service(0.5), records(8)
			for range picks {
				c, err := p.Pick(start, s, rs, nil)
				must.NoError(t, err)
				mean := 300 * time.Millisecond
				if fast(c.Record.Node) {
					got++
					mean = 150 * time.Millisecond
				}
				r := Result{Outcome: OK, Work: model.WorkOf(model.KindInteractive), Latency: time.Duration(float64(mean) * math.Exp(rng.NormFloat64()))}
				if typical {
					r.MeanServiceTime = mean
				}
				c.Done(start, r)
			}
		}
		return float64(got) / (nodes * picks)
	}
	reported, measured := share(true), share(false)
	t.Logf("fraction of requests sent to fast servers: %.3f by reported means, %.3f by single latencies", reported, measured)
	must.Greater(t, 0.7, reported)
	must.Less(t, 0.65, measured)
}

// A server that happened to get only bulk requests, which take longer, doesn't count as slow.
func TestLatenciesAreComparedPerKind(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(2)
	for range 50 {
		finish(t, p, start, s, rs, "a", Result{Outcome: OK, Work: model.WorkOf(model.KindBulk), Latency: 400 * time.Millisecond}, 1)
		finish(t, p, start, s, rs, "b", Result{Outcome: OK, Work: model.WorkOf(model.KindInteractive), Latency: 50 * time.Millisecond}, 1)
	}
	got := counts(t, p, start, s, rs, 1000)
	must.Between(t, 400, got["a"], 600)
}
