package pace

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// field plays requests for large answers against the hosts of one zone, on
// virtual time. Hosts have links of 10 Mbit/s; answers are 90 KB and are worked on
// for 180 ms on average, and are due after a second. Callers that are refused come
// back twice, at a random part of the 6 s that they have.
type field struct {
	t      *testing.T
	rng    *rand.Rand
	lanes  []*Lane
	events events
	order  int
	now    time.Time
	asks   int
	ended  map[string]int
}

const (
	fieldHosts    = 10
	fieldTarget   = time.Second
	fieldDeadline = 6 * time.Second
	fieldRate     = 0.85 * 10e6 / 8 // bytes a second
)

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *field) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{f.now.Add(d), f.order, do})
}

// drawn returns a random value of the given mean, spread as a lognormal one.
func (f *field) drawn(mean, spread float64) float64 {
	return mean * math.Exp(spread*f.rng.NormFloat64()-spread*spread/2)
}

// policy says how a request asks hosts; it returns the ticket that it got.
type policy func(f *field, left time.Duration) *Ticket

// fixedWait asks four hosts and waits for a sixth of the target at most.
func fixedWait(f *field, _ time.Duration) *Ticket {
	for _, i := range f.rng.Perm(fieldHosts)[:4] {
		f.asks++
		if t, _, ok := f.lanes[i].Ask(f.now, fieldTarget/6); ok {
			return t
		}
	}
	return nil
}

// searching asks as Search says, four times at most.
func searching(f *field, left time.Duration) *Ticket {
	var s Search
	order := f.rng.Perm(fieldHosts)
	for ask := range 4 {
		i := order[ask]
		if !s.Looking() {
			if best, ok := s.Best(); ok {
				_, err := fmt.Sscan(string(best), &i)
				must.NoError(f.t, err)
			}
		}
		f.asks++
		t, backlog, ok := f.lanes[i].Ask(f.now, s.Wait(left))
		if ok {
			return t
		}
		s.Refused(model.NodeID(fmt.Sprint(i)), backlog)
	}
	return nil
}

// request makes one attempt of a caller that began at a time.
func (f *field) request(p policy, began time.Time, retries int) {
	asked := f.now
	t := p(f, fieldTarget)
	if t == nil {
		f.refused(p, began, retries)
		return
	}
	size := min(f.drawn(90e3, 0.6), 540e3)
	f.after(time.Duration(f.drawn(float64(180*time.Millisecond), 0.8)), func() {
		t.Size(size)
		wait := t.Piece(f.now, int(size)) + t.lane.span(size)
		f.after(wait, func() { f.answered(f.now.Sub(began), f.now.Sub(asked)) })
	})
}

func (f *field) refused(p policy, began time.Time, retries int) {
	if retries == 0 {
		f.ended["refused"]++
		return
	}
	left := began.Add(fieldDeadline).Sub(f.now)
	f.after(time.Duration((0.08+0.22*f.rng.Float64())*float64(left)), func() { f.request(p, began, retries-1) })
}

// answered notes an answer that came so long after the caller's first attempt and
// after its last one.
func (f *field) answered(took, last time.Duration) {
	switch {
	case took <= fieldTarget:
		f.ended["in time"]++
	case last <= fieldTarget:
		f.ended["in time after coming back"]++
	default:
		f.ended["late"]++
	}
}

// play returns the part of the requests that were answered in time.
func play(t *testing.T, p policy, load float64) (inTime float64, f *field) {
	f = &field{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: begin, ended: make(map[string]int)}
	for range fieldHosts {
		f.lanes = append(f.lanes, New(Config{BytesPerSecond: fieldRate, FirstSize: 128 << 10, SizeGain: 0.2}))
	}
	const requests = 20000
	gap := 90e3 / (load * fieldHosts * fieldRate) * float64(time.Second)
	at := time.Duration(0)
	for range requests {
		at += time.Duration(f.rng.ExpFloat64() * gap)
		f.after(at, func() { f.request(p, f.now, 2) })
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	return float64(f.ended["in time"]) / requests, f
}

// Links of a large site are full to 0.7 and more, at which a fixed wait of a sixth
// of the target refuses a tenth of the attempts and makes them late.
func TestSearchServesInTime(t *testing.T) {
	for _, tc := range []struct{ load, least float64 }{{0.6, 0.98}, {0.75, 0.98}, {0.85, 0.97}, {1.2, 0.42}} {
		before, old := play(t, fixedWait, tc.load)
		after, found := play(t, searching, tc.load)
		t.Logf("load %.2f: in time %.3f with a fixed wait (%v, %d asks), %.3f with a search (%v, %d asks)",
			tc.load, before, old.ended, old.asks, after, found.ended, found.asks)
		must.GreaterEq(t, tc.least, after)
		must.Greater(t, before, after)
	}
}
