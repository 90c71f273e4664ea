package gate

import (
	"sync/atomic"
	"time"

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
	// decayShift takes 1/8 off at each tick without a completed request. An
	// estimate that refuses everything would otherwise never be corrected.
	decayShift = 3
)

// estimate is a low estimate of a service time. Concurrent updates may lose
// one of the two samples, which does no harm.
type estimate struct {
	nanos   atomic.Int64
	samples atomic.Int64
	ticked  int64
}

func (e *estimate) get() time.Duration { return time.Duration(e.nanos.Load()) }

func (e *estimate) add(d time.Duration) {
	e.samples.Add(1)
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

// tick lets the estimate decay when nothing was completed since the last one.
func (e *estimate) tick() {
	n := e.samples.Load()
	if n == e.ticked {
		old := e.nanos.Load()
		e.nanos.Store(old - old>>decayShift)
	}
	e.ticked = n
}

type estimates [numKinds]estimate

func (e *estimates) of(kind model.ClassKind) *estimate { return &e[rank(kind)] }
