package balance

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// The model is one service of 9 backend servers in 3 zones. Each has 10 slots, a gate with a
// queue of 10, and exponential service times with a mean of 50 ms. 6 or 60 entry proxies are
// spread over the zones. Arrivals are Poisson. The one-way latency is 0.1 ms within a zone and
// 0.5 ms between zones. Nothing is retried.
const (
	modelServers  = 9
	modelZones    = 3
	modelSlots    = 10
	modelMean     = 50 * time.Millisecond
	modelDeadline = 500 * time.Millisecond
	modelWarmup   = 3 * time.Second
	modelRun      = 8 * time.Second
	modelCapacity = modelServers * modelSlots * float64(time.Second) / float64(modelMean)
)

var (
	compare = flag.Bool("compare", false, "compare the picker with simpler policies and with itself without one of its parts")
	entries = flag.Int("entries", 6, "number of entry proxies")
	seeds   = flag.Int("seeds", 1, "number of simulations to average")
)

// timer is a call scheduled in virtual time.
type timer struct {
	at time.Duration
	do func()
}

// timers is a heap, earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// backend is one backend server with its gate.
type backend struct {
	// slow returns the factor of the service times; it is nil for 1.
	slow           func(now time.Duration) float64
	busy, maxQueue int
	queue          []func()
	// A dead backend server refuses requests without a load report, one that misreports
	// always reports that it is idle, and one that fails responds with failures.
	dead, misreports, fails bool
}

// world is the state of the simulation and its counters, which count after the warm-up.
type world struct {
	entries  int
	now      time.Duration
	timers   timers
	rand     *rand.Rand
	backends []*backend
	records  []endpoint.Record
	service  *model.Service

	latencies            []float64 // of responses, in milliseconds
	offered, useful, far int
}

// policy picks a backend server for one entry proxy. done is called with the result.
type policy func(now time.Time) (node int, done func(time.Time, Result))

// after schedules a call in virtual time.
func (w *world) after(d time.Duration, do func()) { heap.Push(&w.timers, timer{w.now + d, do}) }

func (w *world) time() time.Time { return start.Add(w.now) }

func (b *backend) load() *Load {
	if b.misreports {
		return &Load{Slots: modelSlots}
	}
	return &Load{Used: b.busy, Slots: modelSlots, Queued: len(b.queue)}
}

// arrive handles a request at the gate of a backend server.
func (w *world) arrive(b *backend, size float64, reply func(Result)) {
	switch {
	case b.dead:
		reply(Result{Outcome: NotRun})
	case b.fails:
		reply(Result{Outcome: Failed, Load: b.load()})
	case b.busy < modelSlots:
		w.serve(b, size, reply)
	case len(b.queue) < b.maxQueue:
		b.queue = append(b.queue, func() { w.serve(b, size, reply) })
	default:
		reply(Result{Outcome: NotRun, Load: b.load()})
	}
}

// serve runs a request in a free slot, then takes the next one from the queue.
func (w *world) serve(b *backend, size float64, reply func(Result)) {
	b.busy++
	mean := float64(modelMean)
	if b.slow != nil {
		mean *= b.slow(w.now)
	}
	w.after(time.Duration(size*mean), func() {
		b.busy--
		reply(Result{Outcome: OK, Load: b.load()})
		if len(b.queue) > 0 {
			next := b.queue[0]
			b.queue = b.queue[1:]
			next()
		}
	})
}

// request sends one request. size is its service time as a multiple of the mean.
func (w *world) request(zone int, size float64, p policy) {
	sent := w.now
	node, done := p(w.time())
	oneWay := 100 * time.Microsecond
	if node%modelZones != zone {
		oneWay = 500 * time.Microsecond
	}
	w.after(oneWay, func() {
		w.arrive(w.backends[node], size, func(r Result) {
			w.after(oneWay, func() {
				r.Latency = w.now - sent
				done(w.time(), r)
				if sent < modelWarmup {
					return
				}
				w.offered++
				if node%modelZones != zone {
					w.far++
				}
				if r.Outcome != OK {
					return
				}
				w.latencies = append(w.latencies, r.Latency.Seconds()*1000)
				if r.Latency <= modelDeadline {
					w.useful++
				}
			})
		})
	})
}

// figures are the results of a run: the 99th percentile of the latencies in milliseconds, the
// fraction of requests that failed or were refused, the responses within the deadline as a
// fraction of the capacity, and the fraction of requests sent to another zone.
type figures struct{ p99, errors, useful, far float64 }

// run simulates a load, given as a fraction of the capacity. make returns the policy of an
// entry proxy.
func run(seed uint64, entries int, load float64, prepare func(*world), make func(w *world, entry int) policy) figures {
	w := &world{entries: entries, rand: rand.New(rand.NewPCG(seed, 2)), service: service(0.5), records: records(modelServers)}
	for i := range w.records {
		w.records[i].Zone = model.Zone(rune('1' + i%modelZones))
		w.backends = append(w.backends, &backend{maxQueue: modelSlots})
	}
	policies := []policy{}
	for e := range entries {
		policies = append(policies, make(w, e))
	}
	prepare(w)
	gap := float64(time.Second) / (load * modelCapacity)
	var next func()
	next = func() {
		if w.now > modelRun {
			return
		}
		e := w.rand.IntN(entries)
		w.request(e%modelZones, w.rand.ExpFloat64(), policies[e])
		w.after(time.Duration(w.rand.ExpFloat64()*gap), next)
	}
	next()
	for len(w.timers) > 0 {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.do()
	}
	slices.Sort(w.latencies)
	f := figures{p99: math.Inf(1)}
	if n := len(w.latencies); n > 0 {
		f.p99 = w.latencies[n*99/100]
	}
	f.errors = 1 - float64(len(w.latencies))/float64(w.offered)
	f.useful = float64(w.useful) / (modelRun - modelWarmup).Seconds() / modelCapacity
	f.far = float64(w.far) / float64(w.offered)
	return f
}

// roundRobin returns a policy that picks the backend servers in turn.
func roundRobin(w *world, e int) policy {
	i := e
	return func(time.Time) (int, func(time.Time, Result)) {
		i++
		return i % len(w.records), func(time.Time, Result) {}
	}
}

// leastReported returns a policy that picks the backend server with the lowest load in its
// last report.
func leastReported(w *world, e int) policy {
	last := make([]float64, modelServers)
	rng := rand.New(rand.NewPCG(uint64(e), 3))
	return func(time.Time) (int, func(time.Time, Result)) {
		best, ties := 0, 0
		for i := range w.records {
			switch {
			case last[i] < last[best] || ties == 0:
				best, ties = i, 1
			case last[i] == last[best]:
				ties++
				if rng.IntN(ties) == 0 {
					best = i
				}
			}
		}
		return best, func(_ time.Time, r Result) {
			if r.Load != nil {
				last[best] = float64(r.Load.Used+r.Load.Queued) / float64(r.Load.Slots)
			}
		}
	}
}

// picker returns the policy of a Picker whose default configuration is changed.
func picker(change func(*Config)) func(*world, int) policy {
	return func(w *world, e int) policy {
		cfg := DefaultConfig()
		change(&cfg)
		p := New(cfg, model.Zone(rune('1'+e%modelZones)), "r1", uint64(e))
		return func(now time.Time) (int, func(time.Time, Result)) {
			c, err := p.Pick(now, w.service, w.records, nil)
			if err != nil {
				panic(err)
			}
			return int(c.Record.Node[0] - 'a'), c.Done
		}
	}
}

// scenarios are the conditions and faults under which the policies are compared. p99 (in
// milliseconds) and errors are upper bounds of the picker's figures with 6 entry proxies.
var scenarios = []struct {
	name        string
	load        float64
	p99, errors float64
	prepare     func(*world)
}{
	{"healthy", 0.7, 245, 0.001, func(*world) {}},
	{"one slow", 0.6, 260, 0.001, func(w *world) { w.backends[0].slow = slowBy(8) }},
	{"slow liar", 0.6, 260, 0.001, func(w *world) { w.backends[0].slow, w.backends[0].misreports = slowBy(8), true }},
	{"failing liar", 0.6, 245, 0.005, func(w *world) { w.backends[0].fails, w.backends[0].misreports = true, true }},
	{"one cold", 0.7, 252, 0.001, func(w *world) {
		w.service.SlowStart = model.Duration(5 * time.Second)
		all := w.records
		w.records = w.records[:modelServers-1]
		w.after(modelWarmup, func() { w.records = all })
		w.backends[modelServers-1].slow = func(now time.Duration) float64 {
			return 1 + 5*max(0, 1-float64(now-modelWarmup)/float64(5*time.Second))
		}
	}},
	{"zone gone", 0.5, 245, 0.02, func(w *world) {
		w.after(modelWarmup, func() {
			for i := 0; i < modelServers; i += modelZones {
				w.backends[i].dead = true
			}
		})
		w.after(modelWarmup+4*time.Second, func() {
			w.records = slices.DeleteFunc(slices.Clone(w.records), func(r endpoint.Record) bool { return r.Zone == "1" })
		})
	}},
	{"crowded zone", 0.7, 365, 0.005, func(w *world) {
		for i := 0; i < modelServers; i += modelZones {
			w.backends[i].slow = slowBy(2)
		}
	}},
	{"overload 1.5", 1.5, 290, 0.36, func(*world) {}},
	{"overload 3", 3, 290, 0.69, func(*world) {}},
	{"no queue bound", 3, math.Inf(1), 1, func(w *world) {
		for _, b := range w.backends {
			b.maxQueue = math.MaxInt
		}
	}},
}

// slowBy returns a constant factor of the service times.
func slowBy(f float64) func(time.Duration) float64 { return func(time.Duration) float64 { return f } }

// TestPolicies checks the picker against the bounds of the scenarios. With -compare it also
// runs two simpler policies, and the picker without one of its parts, for
// docs/design/balancing.md.
func TestPolicies(t *testing.T) {
	policies := []struct {
		name string
		make func(*world, int) policy
	}{
		{"round robin", roundRobin},
		{"least reported", leastReported},
		{"picker", picker(func(*Config) {})},
		{"no latency", picker(func(c *Config) { c.LatencyCap = 0 })},
		{"no ejection", picker(func(c *Config) { c.ConsecutiveFailures, c.FailureRate = math.MaxInt32, 2 })},
		{"no reports", picker(func(c *Config) { c.LoadTTL = 0 })},
		{"reports 3 s", picker(func(c *Config) { c.LoadTTL = 3 * time.Second })},
		{"no slow start", picker(func(c *Config) { c.ColdFloor = 1 })},
		{"no margin", picker(func(c *Config) { c.SpillMargin = 0 })},
		{"margin 25 ms", picker(func(c *Config) { c.SpillMargin = 25 * time.Millisecond })},
	}
	for _, s := range scenarios {
		if !*compare && math.IsInf(s.p99, 1) {
			continue // it shows the effect of unbounded gate queues, not of the picker
		}
		got := make(map[string]figures)
		for _, p := range policies {
			if !*compare && p.name != "picker" {
				continue
			}
			f := mean(func(seed uint64) figures { return run(seed, *entries, s.load, s.prepare, p.make) })
			got[p.name] = f
			t.Logf("%-13s %-15s p99 %6.1f ms  errors %5.2f%%  useful %5.1f%%  far %3.0f%%",
				s.name, p.name, f.p99, 100*f.errors, 100*f.useful, 100*f.far)
		}
		if *compare && !math.IsInf(s.p99, 1) {
			simple := max(got["round robin"].useful, got["least reported"].useful)
			must.GreaterEq(t, simple*(1-tolerance()), got["picker"].useful, must.Sprint(s.name))
		}
		if *entries == 6 {
			must.LessEq(t, s.p99, got["picker"].p99, must.Sprint(s.name))
			must.LessEq(t, s.errors, got["picker"].errors, must.Sprint(s.name))
		}
	}
}

// mean runs all seeds and returns the means of the figures.
func mean(run func(seed uint64) figures) figures {
	var sum figures
	for seed := range uint64(*seeds) {
		f := run(seed)
		sum.p99 += f.p99
		sum.errors += f.errors
		sum.useful += f.useful
		sum.far += f.far
	}
	n := float64(*seeds)
	return figures{sum.p99 / n, sum.errors / n, sum.useful / n, sum.far / n}
}

// tolerance returns three standard errors of the difference between two throughputs, relative
// to the throughput: a run under overload finishes about 18,000 requests of exponential size,
// and each policy finishes different ones.
func tolerance() float64 {
	finished := (modelRun - modelWarmup).Seconds() * modelCapacity * float64(*seeds)
	return 3 * math.Sqrt(2/finished)
}
