package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// limited simulates, in virtual time, entry nodes that share backend servers of which some state
// a rate limit. Refusals of the gates hold back the picker for the time that they name.
type limited struct {
	gates   []*gate.Gate
	records []endpoint.Record
	service *model.Service

	mu       sync.Mutex
	admitted [][]time.Time // by server
	senders  []map[*Picker]bool
}

const (
	limitedTarget = 400 * time.Millisecond
	// limitedQueueTime is how much of the time until a limit allows a request is spent queued.
	limitedQueueTime = 250 * time.Millisecond
)

// newLimited returns a simulation of servers with the limits; below 0 is none.
func newLimited(perSecond []float64) *limited {
	l := &limited{records: records(len(perSecond)), service: service(0.5), admitted: make([][]time.Time, len(perSecond))}
	for range perSecond {
		l.senders = append(l.senders, make(map[*Picker]bool))
	}
	for _, stated := range perSecond {
		g := gate.New()
		limits := gate.Limits{Slots: 10, Connections: 10, QueueLength: 40}
		if stated >= 0 {
			rate, burst := serverlimit.Limit{Stated: true, PerSecond: stated}.Rate()
			limits.Stated = gate.RateLimit{Until: time.Now().Add(time.Hour), PerSecond: rate, Burst: burst}
		}
		g.Update(limits, time.Now())
		l.gates = append(l.gates, g)
	}
	return l
}

// request sends a request to up to maxExcluded gates, until one of them accepts it.
func (l *limited) request(p *Picker) {
	began := time.Now()
	var tried Exclusions
	for range maxExcluded {
		c, err := p.Pick(time.Now(), l.service, l.records, &tried)
		if err != nil {
			return
		}
		server := int(c.Record.Node[0] - 'a')
		r, admitted := l.send(server, began)
		c.Done(time.Now(), r)
		if admitted {
			l.mu.Lock()
			l.senders[server][p] = true
			l.mu.Unlock()
			return
		}
		tried.Add(c.Record.Node)
	}
}

// send sends a request to a gate and reports whether it was admitted.
func (l *limited) send(server int, began time.Time) (Result, bool) {
	time.Sleep(unevenTrip)
	defer time.Sleep(unevenTrip)
	g := l.gates[server]
	work := model.Work{Kind: model.KindInteractive, Rank: 1, Target: limitedTarget}
	r := gate.Request{Work: work, Due: began.Add(work.Target), Deadline: began.Add(time.Second)}
	if reason := g.Enter(context.Background(), r, time.Now); reason != "" {
		refused := Result{Outcome: Cancelled, Load: reportedLoad(g)}
		if reason == outcome.ReasonServerLimit {
			refused.Hold = max(0, g.StatedWait(time.Now())-limitedQueueTime)
		}
		return refused, false
	}
	l.mu.Lock()
	l.admitted[server] = append(l.admitted[server], time.Now())
	l.mu.Unlock()
	took := 20 * time.Millisecond
	time.Sleep(took)
	g.Release(work, took, time.Now())
	return Result{Outcome: OK, Latency: took, Load: reportedLoad(g), Work: work, MeanServiceTime: took}, true
}

// windows returns the smallest and the largest number of requests that a server was sent in any
// four seconds between two times.
func (l *limited) windows(server int, from, to time.Time) (least, most int) {
	all := l.admitted[server]
	slices.SortFunc(all, time.Time.Compare)
	least = len(all)
	for at := from; !at.Add(4 * time.Second).After(to); at = at.Add(50 * time.Millisecond) {
		n := 0
		for _, sent := range all {
			if !sent.Before(at) && sent.Before(at.Add(4*time.Second)) {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// Guards against a stated limit that several nodes together exceed, or leave unused.
func TestStatedLimitIsUsedInSumOverAllNodes(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			l := newLimited([]float64{10.9, 0, 0.2, -1})
			pickers := make([]*Picker, 6)
			for i := range pickers {
				pickers[i] = New(DefaultConfig(), "z1", "r1", seed+uint64(i))
			}
			rnd := rand.New(rand.NewPCG(seed, 9))
			var running sync.WaitGroup
			began, end := time.Now(), time.Now().Add(12*time.Second)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rnd.ExpFloat64() / 160 * float64(time.Second)))
				p := pickers[rnd.IntN(len(pickers))]
				running.Go(func() { l.request(p) })
			}
			running.Wait()
			least, most := l.windows(0, began.Add(time.Second), end)
			must.GreaterEq(t, 40, least, must.Sprint("the limit should be used"))
			must.LessEq(t, 70, most)
			must.MapLen(t, len(pickers), l.senders[0], must.Sprint("all nodes should send to it"))
			for _, server := range []int{1, 2} {
				_, most := l.windows(server, began, end)
				must.LessEq(t, 5, most)
			}
		})
	}
}
