package gate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/perwork"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Weights of the estimate of service times.
const (
	// downShift weighs a shorter service time with 1/4: the estimate follows
	// the short times, so that a request is refused only where even a quick
	// run would be too late.
	downShift = 2
	// upShift weighs a longer service time with 1/32.
	upShift = 5
	// meanShift weighs a new service time in the mean with 1/16.
	meanShift = 4
	// decayShift takes 1/8 off at each tick without a completed request. An
	// estimate that refuses everything would otherwise never be corrected.
	decayShift = 3
)

// estimate is a low estimate of a service time. Concurrent updates may lose
// one of the two samples, which does no harm.
type estimate struct {
	nanos atomic.Int64
	mean  atomic.Int64
	// typical is as mean, but doesn't decay: it is for others to compare servers.
	typical atomic.Int64
	samples atomic.Int64
	ticked  int64
	// spared is the part of the time that doesn't grow with the host's slowdown, as calls
	// of the request to others.
	spared atomic.Uint64 // float64
}

func (e *estimate) get() time.Duration { return time.Duration(e.nanos.Load()) }

// average returns the mean service time; 0 before the first.
func (e *estimate) average() time.Duration { return time.Duration(e.mean.Load()) }

// slowed returns what a request takes on a host that is slow, of which d is the usual.
func (e *estimate) slowed(d time.Duration, slowdown float64) time.Duration {
	if slowdown == 1 {
		return d
	}
	grows := 1 - max(0, min(math.Float64frombits(e.spared.Load()), 1))
	return time.Duration(float64(d) * (1 + (slowdown-1)*grows))
}

// addSlowed adds what a request took that began while the host was slow, and returns what
// it would have taken otherwise.
func (e *estimate) addSlowed(d time.Duration, slowdown float64) time.Duration {
	if usual := e.typical.Load(); usual > 0 && slowdown >= tellingSlowdown {
		grew := (float64(d)/float64(usual) - 1) / (slowdown - 1)
		spared := math.Float64frombits(e.spared.Load())
		e.spared.Store(math.Float64bits(spared + sparedGain*(1-grew-spared)))
	}
	usual := time.Duration(float64(d) / (float64(e.slowed(scale, slowdown)) / float64(scale)))
	e.add(usual)
	return usual
}

// scale is a time that is long beside the rounding of a product.
const scale = time.Hour

// tellingSlowdown is the least slowdown of which it can be told what it spares: under a
// smaller one the requests' own differences count for more.
const tellingSlowdown = 1.5

// sparedGain is the weight of one request in what slow moments spare: one alone tells
// little, as its own work isn't known.
const sparedGain = 0.02

func (e *estimate) add(d time.Duration) {
	e.samples.Add(1)
	addTo(&e.mean, d)
	addTo(&e.typical, d)
	old := e.nanos.Load()
	switch sample := int64(d); {
	case old == 0:
		e.nanos.Store(sample >> downShift)
	case sample < old:
		e.nanos.Store(old + (sample-old)>>downShift)
	default:
		e.nanos.Store(old + (sample-old)>>upShift)
	}
}

// addTo adds a service time to a mean, which is 0 before the first.
func addTo(mean *atomic.Int64, d time.Duration) {
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(d))
		return
	}
	mean.Store(old + (int64(d)-old)>>meanShift)
}

// tick lets the estimate decay when nothing was completed since the last one.
func (e *estimate) tick() {
	n := e.samples.Load()
	if n == e.ticked {
		old := e.nanos.Load()
		e.nanos.Store(old - old>>decayShift)
		mean := e.mean.Load()
		e.mean.Store(mean - mean>>decayShift)
	}
	e.ticked = n
}

// estimates are the service times of a backend server: by sort of work, and over
// all.
type estimates struct {
	perwork.Map[estimate]
	all estimate
}

// add notes what a request took.
func (e *estimates) add(w model.Work, took time.Duration) {
	e.Of(w).add(took)
	e.all.add(took)
}

// addSlowed notes what a request took that began while the host was slow.
func (e *estimates) addSlowed(w model.Work, took time.Duration, slowdown float64) {
	e.all.add(e.Of(w).addSlowed(took, slowdown))
}

// tick lets all estimates decay.
func (e *estimates) tick() {
	e.all.tick()
	e.Each(func(_ model.Work, v *estimate) { v.tick() })
}
