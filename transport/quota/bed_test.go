package quota

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

var errMessageLost = errors.New("lost")

// host is one node of a testBed.
type host struct {
	id          model.NodeID
	zone        model.Zone
	limiter     *Limiter
	tracker     *quota.Tracker
	table       *endpoint.Table
	up          bool
	incarnation uint64 // incremented at each start
	side        bool   // the node's side if the fleet is split: true in a third of each zone by default
}

// testBed simulates a fleet in virtual time, in a synctest bubble. Membership detects failed or
// unreachable nodes after detectionDelay.
type testBed struct {
	mu  sync.Mutex
	rng *rand.Rand
	// arrivals draws the arrivals of requests, if message loss must not change them; otherwise rng does.
	arrivals *rand.Rand
	cfg      quota.Config
	hosts    []*host
	byID     map[model.NodeID]*host
	cutZone  model.Zone   // the zone that can't reach the others
	isolated model.NodeID // the node that can't reach any other
	// split is set while nodes reach only those on their own side.
	split       bool
	loss        float64 // probability that a message or response is lost
	messages    int
	limits      map[string]*route.Organisation
	admitted    map[string][]time.Time
	requested   map[string]int
	refused     map[string]int
	retryAfters []time.Duration
}

const (
	oneWayDelay          = 300 * time.Microsecond // of a message or response within a zone
	crossZoneOneWayDelay = 700 * time.Microsecond
	detectionDelay       = 1200 * time.Millisecond // until membership detects a failure
	startDelay           = 250 * time.Millisecond  // until a started node has all records
)

// newTestBed starts a fleet in 3 zones, and returns once all nodes have received all records.
func newTestBed(seed uint64, nodes int, organisations ...*route.Organisation) *testBed {
	b := &testBed{
		rng: rand.New(rand.NewPCG(seed, 1)), byID: make(map[model.NodeID]*host),
		cfg:    quota.Config{Zones: 3, Window: 5 * time.Second, Over: 0.1, Slack: 20},
		limits: make(map[string]*route.Organisation), admitted: make(map[string][]time.Time),
		requested: make(map[string]int), refused: make(map[string]int),
	}
	for _, o := range organisations {
		b.limits[o.Name] = o
	}
	for i := range nodes {
		h := &host{id: model.NodeID(fmt.Sprintf("n%02d", i)), zone: model.Zone(fmt.Sprintf("z%d", i%3)), side: i%9 < 3}
		b.hosts = append(b.hosts, h)
		b.byID[h.id] = h
	}
	for _, h := range b.hosts {
		b.start(h)
	}
	time.Sleep(startDelay + time.Second)
	return b
}

// start starts a node without any state of its previous run. The node and the others receive
// each other's records in two halves of the fleet.
func (b *testBed) start(h *host) {
	now := time.Now()
	b.mu.Lock()
	h.incarnation++
	h.up = true
	h.table = endpoint.NewTable()
	h.tracker = quota.NewTracker(h.id, h.zone, now)
	h.limiter = New(Config{
		Self: h.id, Zone: h.zone, Bounds: b.cfg, Caller: caller{b, h}, Seed: b.rng.Uint64(),
		Metrics: metrics.NewSet(), Logger: log.NewNopLogger(), Now: time.Now,
	})
	limits := b.limits
	b.mu.Unlock()
	h.limiter.SetOrganisations(limits)
	b.observe(h, h)
	go func() {
		for part := range 2 {
			time.Sleep(startDelay / 2)
			for i, o := range b.hosts {
				if i%2 == part {
					b.observe(h, o)
					b.observe(o, h)
				}
			}
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			b.updateMembers(h)
		}
	}()
}

// observe updates the record that a node holds of another one to its current state.
func (b *testBed) observe(h, other *host) {
	b.mu.Lock()
	r := endpoint.Record{Node: other.id, Zone: other.zone, GateAddr: string(other.id), Incarnation: other.incarnation}
	if !other.up || b.split && other.side != h.side {
		r.Sequence = 1
		r.Status, r.Died = endpoint.StatusFailed, time.Now().Unix()
	}
	if h.up && other.incarnation > 0 {
		h.table.Put(r)
	}
	b.mu.Unlock()
	b.updateMembers(h)
}

// updateMembers passes the members according to a node's records to its Limiter.
func (b *testBed) updateMembers(h *host) {
	b.mu.Lock()
	if !h.up {
		b.mu.Unlock()
		return
	}
	m, limiter := h.tracker.Update(time.Now(), h.table), h.limiter
	b.mu.Unlock()
	limiter.SetMembers(m)
}

// kill stops nodes and restarts them after a delay, or never if it is 0.
func (b *testBed) kill(restartAfter time.Duration, hosts ...*host) {
	b.mu.Lock()
	for _, h := range hosts {
		h.up = false
	}
	b.mu.Unlock()
	if restartAfter > 0 {
		time.AfterFunc(restartAfter, func() {
			for _, h := range hosts {
				b.start(h)
			}
		})
	}
	time.AfterFunc(detectionDelay, func() {
		for _, h := range b.hosts {
			for _, dead := range hosts {
				b.observe(h, dead)
			}
		}
	})
}

// partition splits the fleet into two sides, by default a third of each zone and the rest.
func (b *testBed) partition() {
	b.withLock(func() { b.split = true })
	time.AfterFunc(detectionDelay, func() {
		for _, h := range b.hosts {
			for _, of := range b.hosts {
				b.observe(h, of)
			}
		}
	})
}

// configure changes the quotas on all nodes, one after the other over half a second.
func (b *testBed) configure(all ...*route.Organisation) {
	limits := make(map[string]*route.Organisation)
	for _, o := range all {
		limits[o.Name] = o
	}
	b.withLock(func() { b.limits = limits })
	for i, h := range b.hosts {
		time.AfterFunc(time.Duration(i)*8*time.Millisecond, func() { h.limiter.SetOrganisations(limits) })
	}
}

// caller is the Caller of one node.
type caller struct {
	b    *testBed
	from *host
}

// Call implements Caller.
func (c caller) Call(ctx context.Context, to quota.Member, m *Message) (*Response, error) {
	b := c.b
	b.mu.Lock()
	b.messages++
	h := b.byID[to.Node]
	delay := oneWayDelay
	if h.zone != c.from.zone {
		delay = crossZoneOneWayDelay
	}
	cut := h.zone != c.from.zone && (h.zone == b.cutZone || c.from.zone == b.cutZone) || b.isolated == h.id || b.isolated == c.from.id ||
		b.split && h.side != c.from.side
	requestArrives, responseArrives := b.rng.Float64() >= b.loss && !cut, b.rng.Float64() >= b.loss
	up, limiter := h.up, h.limiter
	b.mu.Unlock()
	if !requestArrives {
		<-ctx.Done()
		return nil, errMessageLost
	}
	time.Sleep(delay)
	if !up {
		return nil, syscall.ECONNREFUSED
	}
	a := limiter.HandleMessage(ctx, m)
	time.Sleep(delay)
	if !responseArrives || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errMessageLost
	}
	return a, nil
}

// sendRequest sends one request of an organisation to a node.
func (b *testBed) sendRequest(h *host, name string, late bool) {
	b.mu.Lock()
	up, limiter, o := h.up, h.limiter, b.limits[name]
	b.mu.Unlock()
	if !up || o == nil || o.Quota == nil {
		return
	}
	after, ok := limiter.Take(context.Background(), o, late)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requested[name]++
	if ok {
		b.admitted[name] = append(b.admitted[name], time.Now())
		return
	}
	b.refused[name]++
	b.retryAfters = append(b.retryAfters, after)
}

// sendRequests sends requests of an organisation to randomly chosen nodes for the duration d, as a
// Poisson process.
func (b *testBed) sendRequests(name string, perSecond float64, d time.Duration, hosts ...*host) {
	end := time.Now().Add(d)
	rng := cmp.Or(b.arrivals, b.rng)
	for {
		b.mu.Lock()
		wait := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		h := hosts[rng.IntN(len(hosts))]
		b.mu.Unlock()
		time.Sleep(wait)
		if time.Now().After(end) {
			return
		}
		go b.sendRequest(h, name, false)
	}
}

func (b *testBed) withLock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// zone returns the nodes of an availability zone.
func (b *testBed) zone(name model.Zone) []*host {
	return slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h.zone != name })
}

// maxInWindow returns the maximum number of requests of an organisation that were admitted in any
// window, counting those since the time from. The caller must hold b.mu.
func (b *testBed) maxInWindow(name string, from time.Time) int {
	at := slices.DeleteFunc(slices.Clone(b.admitted[name]), func(t time.Time) bool { return t.Before(from) })
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) >= b.cfg.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
