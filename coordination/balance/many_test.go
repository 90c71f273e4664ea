package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// The model is one zone of many hosts, each with a backend server and an entry node that sends
// a few requests per second. About a third of the backend servers take more than twice as long
// as the others. Service times are log-normal.
const (
	manyHosts  = 160
	manySlots  = 7
	manyMean   = 220 * time.Millisecond
	manySigma  = 0.8
	manyTarget = 800 * time.Millisecond
	manyWarmup = 5 * time.Second
	manyRun    = 20 * time.Second
)

// manyDurations are the factors, relative to manyMean, of the service times of the backend
// servers.
var manyDurations = []float64{0.7, 0.7, 1.6}

// manyServer is one backend server.
type manyServer struct {
	factor  float64 // of its service times, one of manyDurations
	busy    int
	queue   []func()
	typical time.Duration // moving average of the time that requests take
	ran     int           // number of requests
}

func (s *manyServer) load() *Load {
	return &Load{Used: s.busy, Slots: manySlots, Queued: len(s.queue), MeanServiceTime: s.typical}
}

// manyModel is the state of the simulation.
type manyModel struct {
	now            time.Duration
	timers         timers
	rand           *rand.Rand
	servers        []*manyServer
	records        []endpoint.Record
	late, answered int
}

// after schedules a call in virtual time.
func (w *manyModel) after(d time.Duration, do func()) { heap.Push(&w.timers, timer{w.now + d, do}) }

// serve runs a request in a free slot, then takes the next one from the queue.
func (w *manyModel) serve(s *manyServer, work time.Duration, reply func()) {
	s.busy++
	s.ran++
	took := time.Duration(float64(work) * s.factor)
	w.after(took, func() {
		s.busy--
		if s.typical == 0 {
			s.typical = took
		}
		s.typical += (took - s.typical) / 16
		reply()
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// request sends one request from an entry node.
func (w *manyModel) request(t *testing.T, p *Picker, service *model.Service) {
	began := w.now
	size := math.Exp(w.rand.NormFloat64()*manySigma - manySigma*manySigma/2)
	kind := model.WorkOf(model.KindInteractive)
	c, err := p.PickFor(at(w.now), service, w.records, nil, PickOptions{Work: kind, MaxNearWait: manyTarget / 2})
	must.NoError(t, err)
	i, err := strconv.Atoi(string(c.Record.Node))
	must.NoError(t, err)
	s := w.servers[i]
	reply := func() {
		took := w.now - began
		c.Done(at(w.now), Result{Outcome: OK, Latency: took, Load: s.load(), Work: kind, MeanServiceTime: s.typical})
		if began < manyWarmup {
			return
		}
		w.answered++
		if took > manyTarget {
			w.late++
		}
	}
	serve := func() { w.serve(s, time.Duration(size*float64(manyMean)), reply) }
	if s.busy < manySlots {
		serve()
		return
	}
	s.queue = append(s.queue, serve)
}

// runMany simulates a load, given as a fraction of the capacity. It returns the fraction of
// responses that are late and the number of backend servers that got no request.
func runMany(t *testing.T, seed uint64, load float64) (late float64, unused int) {
	w := &manyModel{rand: rand.New(rand.NewPCG(seed, 9))}
	service := &model.Service{Name: "s", MaxEjected: 0.5}
	var pickers []*Picker
	for i := range manyHosts {
		w.servers = append(w.servers, &manyServer{factor: manyDurations[w.rand.IntN(len(manyDurations))]})
		w.records = append(w.records, endpoint.Record{
			Node: model.NodeID(strconv.Itoa(i)), Zone: "z", Region: "r", Incarnation: 1, Service: "s", Slots: manySlots,
		})
		pickers = append(pickers, New(DefaultConfig(), "z", "r", seed+uint64(i)))
	}
	gap := float64(manyMean) / (load * manySlots * manyHosts)
	var next func()
	next = func() {
		if w.now > manyRun {
			return
		}
		w.request(t, pickers[w.rand.IntN(manyHosts)], service)
		w.after(time.Duration(w.rand.ExpFloat64()*gap), next)
	}
	next()
	for len(w.timers) > 0 {
		timer := heap.Pop(&w.timers).(timer)
		w.now = timer.at
		timer.do()
	}
	for _, s := range w.servers {
		if s.ran == 0 {
			unused++
		}
	}
	return float64(w.late) / float64(w.answered), unused
}

// lateWithoutQueueing returns the fraction of requests that take longer than the target if
// the load is spread evenly and no request waits.
func lateWithoutQueueing() float64 {
	sum := 0.0
	for _, factor := range manyDurations {
		deviations := (math.Log(float64(manyTarget)/(factor*float64(manyMean))) + manySigma*manySigma/2) / manySigma
		sum += math.Erfc(deviations/math.Sqrt2) / 2
	}
	return sum / float64(len(manyDurations))
}

// Guards against slow servers getting an equal share of requests where each node sends too
// few requests to measure all servers.
func TestFastServersAreFoundAmongMany(t *testing.T) {
	bound := lateWithoutQueueing()
	for _, load := range []float64{0.1, 0.4, 0.7, 0.85} {
		late, unused := runMany(t, 1, load)
		t.Logf("load %.2f: %.4f late, %.4f without queueing", load, late, bound)
		must.Less(t, bound, late)
		must.Eq(t, 0, unused, must.Sprint("backend servers without requests"))
	}
}
