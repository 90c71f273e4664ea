package gate

import (
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
}

func (e *estimate) get() time.Duration { return time.Duration(e.nanos.Load()) }

// average returns the mean service time; 0 before the first.
func (e *estimate) average() time.Duration { return time.Duration(e.mean.Load()) }

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

// tick lets all estimates decay.
func (e *estimates) tick() {
	e.all.tick()
	e.Each(func(_ model.Work, v *estimate) { v.tick() })
}
