package gate

import (
	"sync"
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

// maxClasses bounds the classes that are told apart: a configuration has a few,
// and other nodes name them. Those beyond share one estimate for each kind.
const maxClasses = 64

// estimates are the service times of a backend server: by class, and over all.
type estimates struct {
	all     estimate
	classes atomic.Pointer[map[Class]*estimate]
	mu      sync.Mutex // held by who adds a class
}

// of returns the estimate of a class. It takes a lock for a class's first
// request only.
func (e *estimates) of(c Class) *estimate {
	if m := e.classes.Load(); m != nil {
		if found := (*m)[c]; found != nil {
			return found
		}
	}
	return e.addClass(c)
}

func (e *estimates) addClass(c Class) *estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	grown := make(map[Class]*estimate)
	if m := e.classes.Load(); m != nil {
		for k, v := range *m {
			grown[k] = v
		}
	}
	if grown[c] == nil && len(grown) >= maxClasses {
		c = Class{Kind: knownKind(c.Kind)}
	}
	if grown[c] == nil {
		grown[c] = new(estimate)
		e.classes.Store(&grown)
	}
	return grown[c]
}

// knownKind bounds the kinds that estimates are kept for.
func knownKind(kind model.ClassKind) model.ClassKind {
	switch kind {
	case model.KindInteractive, model.KindNonRepeatable, model.KindBulk:
		return kind
	}
	return model.KindEventual
}

// add notes what a request of a class took.
func (e *estimates) add(c Class, took time.Duration) {
	e.of(c).add(took)
	e.all.add(took)
}

// tick lets all estimates decay.
func (e *estimates) tick() {
	e.all.tick()
	if m := e.classes.Load(); m != nil {
		for _, v := range *m {
			v.tick()
		}
	}
}
