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

var errLost = errors.New("lost")

// host is one node of a bed.
type host struct {
	id      model.NodeID
	zone    model.Zone
	limiter *Limiter
	tracker *quota.Tracker
	table   *endpoint.Table
	up      bool
	runs    uint64 // its incarnation
	side    bool   // of a split
}

// bed is a fleet in virtual time, to be used in a synctest bubble. Every node learns after
// noticed what becomes of another one.
type bed struct {
	mu       sync.Mutex
	rng      *rand.Rand
	arrivals *rand.Rand // of requests, where messages must not change them
	cfg      quota.Config
	hosts    []*host
	byID     map[model.NodeID]*host
	cut      model.Zone // can't reach others
	alone    model.NodeID
	split    bool // nodes in a third of each zone see each other only
	loss     float64
	messages int
	limits   map[string]*route.Organisation
	admitted map[string][]time.Time
	asked    map[string]int
	refused  map[string]int
	after    []time.Duration
}

const (
	oneWay     = 300 * time.Microsecond
	zoneOneWay = 700 * time.Microsecond
	noticed    = 1200 * time.Millisecond
	startTakes = 250 * time.Millisecond
)

func newBed(seed uint64, nodes int, organisations ...*route.Organisation) *bed {
	b := &bed{
		rng: rand.New(rand.NewPCG(seed, 1)), byID: make(map[model.NodeID]*host),
		cfg:    quota.Config{Zones: 3, Window: 5 * time.Second, Over: 0.1, Slack: 20},
		limits: make(map[string]*route.Organisation), admitted: make(map[string][]time.Time),
		asked: make(map[string]int), refused: make(map[string]int),
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
	time.Sleep(startTakes + time.Second)
	return b
}

// start starts a node, with nothing of what it held before. It learns the fleet in two
// halves.
func (b *bed) start(h *host) {
	now := time.Now()
	b.mu.Lock()
	h.runs++
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
	b.learn(h, h)
	go func() {
		for part := range 2 {
			time.Sleep(startTakes / 2)
			for i, o := range b.hosts {
				if i%2 == part {
					b.learn(h, o)
					b.learn(o, h)
				}
			}
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			b.update(h)
		}
	}()
}

// learn tells a node what is true of another one.
func (b *bed) learn(h, of *host) {
	b.mu.Lock()
	r := endpoint.Record{Node: of.id, Zone: of.zone, GateAddr: string(of.id), Incarnation: of.runs}
	if !of.up || b.split && of.side != h.side {
		r.Sequence = 1
		r.Status, r.Died = endpoint.StatusFailed, time.Now().Unix()
	}
	if h.up && of.runs > 0 {
		h.table.Put(r)
	}
	b.mu.Unlock()
	b.update(h)
}

func (b *bed) update(h *host) {
	b.mu.Lock()
	if !h.up {
		b.mu.Unlock()
		return
	}
	m, limiter := h.tracker.Update(time.Now(), h.table), h.limiter
	b.mu.Unlock()
	limiter.SetMembers(m)
}

// kill ends nodes and starts them again after a while; 0 is never.
func (b *bed) kill(back time.Duration, hosts ...*host) {
	b.mu.Lock()
	for _, h := range hosts {
		h.up = false
	}
	b.mu.Unlock()
	if back > 0 {
		time.AfterFunc(back, func() {
			for _, h := range hosts {
				b.start(h)
			}
		})
	}
	time.AfterFunc(noticed, func() {
		for _, h := range b.hosts {
			for _, dead := range hosts {
				b.learn(h, dead)
			}
		}
	})
}

// divide cuts a third of each zone off from the rest.
func (b *bed) divide() {
	b.locked(func() { b.split = true })
	time.AfterFunc(noticed, func() {
		for _, h := range b.hosts {
			for _, of := range b.hosts {
				b.learn(h, of)
			}
		}
	})
}

// configure changes the quotas at all nodes, spread over half a second.
func (b *bed) configure(all ...*route.Organisation) {
	limits := make(map[string]*route.Organisation)
	for _, o := range all {
		limits[o.Name] = o
	}
	b.locked(func() { b.limits = limits })
	for i, h := range b.hosts {
		time.AfterFunc(time.Duration(i)*8*time.Millisecond, func() { h.limiter.SetOrganisations(limits) })
	}
}

// caller sends messages of one node.
type caller struct {
	b    *bed
	from *host
}

// Call implements Caller.
func (c caller) Call(ctx context.Context, to quota.Member, m *Message) (*Answer, error) {
	b := c.b
	b.mu.Lock()
	b.messages++
	h := b.byID[to.Node]
	delay := oneWay
	if h.zone != c.from.zone {
		delay = zoneOneWay
	}
	cut := h.zone != c.from.zone && (h.zone == b.cut || c.from.zone == b.cut) || b.alone == h.id || b.alone == c.from.id ||
		b.split && h.side != c.from.side
	there, back := b.rng.Float64() >= b.loss && !cut, b.rng.Float64() >= b.loss
	up, limiter := h.up, h.limiter
	b.mu.Unlock()
	if !there {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(delay)
	if !up {
		return nil, syscall.ECONNREFUSED
	}
	a := limiter.Answer(ctx, m)
	time.Sleep(delay)
	if !back || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errLost
	}
	return a, nil
}

// send lets one request of an organisation come to a node.
func (b *bed) send(h *host, name string, late bool) {
	b.mu.Lock()
	up, limiter, o := h.up, h.limiter, b.limits[name]
	b.mu.Unlock()
	if !up || o == nil || o.Quota == nil {
		return
	}
	after, ok := limiter.Take(context.Background(), o, late)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked[name]++
	if ok {
		b.admitted[name] = append(b.admitted[name], time.Now())
		return
	}
	b.refused[name]++
	b.after = append(b.after, after)
}

// demand sends requests at a rate to some nodes until a moment has passed, as a Poisson
// process.
func (b *bed) demand(name string, perSecond float64, d time.Duration, hosts ...*host) {
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
		go b.send(h, name, false)
	}
}

func (b *bed) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *bed) zone(name model.Zone) []*host {
	return slices.DeleteFunc(slices.Clone(b.hosts), func(h *host) bool { return h.zone != name })
}

// worst returns the most requests of an organisation in any window, of those from a moment
// on. The bed must be locked.
func (b *bed) worst(name string, from time.Time) int {
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
