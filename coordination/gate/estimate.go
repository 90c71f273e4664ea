package gate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/perwork"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Smoothing factors of the service time estimates, as right shifts.
const (
	// downShift weights a sample below the low estimate with 1/4: the low estimate
	// follows the short service times, so that a request is refused only if even a
	// quick run would end too late.
	downShift = 2
	// upShift weights a sample above the low estimate with 1/32.
	upShift = 5
	// meanShift weights a sample in the mean with 1/16.
	meanShift = 4
	// decayShift reduces an estimate by 1/8 at each tick without a completed
	// request. An estimate that gets every request refused would otherwise never be
	// corrected.
	decayShift = 3
)

// estimate holds the service time estimates of one workload, or of all workloads.
// Concurrent updates may lose one of the two samples, which is harmless.
type estimate struct {
	lowNanos atomic.Int64
	mean     atomic.Int64
	// typical is like mean, but doesn't decay: it is reported to entry nodes, which
	// compare backend servers by it.
	typical       atomic.Int64
	samples       atomic.Int64
	samplesAtTick int64
	// fixedPart is the part of the service time that doesn't grow with the host's
	// slowdown, such as calls of the request to other services.
	fixedPart atomic.Uint64 // float64
}

// low returns the low estimate of the service time; 0 before the first sample.
func (e *estimate) low() time.Duration { return time.Duration(e.lowNanos.Load()) }

// average returns the mean service time; 0 before the first sample.
func (e *estimate) average() time.Duration { return time.Duration(e.mean.Load()) }

// slowed returns the service time under a slowdown of a request that usually takes d.
func (e *estimate) slowed(d time.Duration, slowdown float64) time.Duration {
	if slowdown == 1 {
		return d
	}
	growingPart := 1 - max(0, min(math.Float64frombits(e.fixedPart.Load()), 1))
	return time.Duration(float64(d) * (1 + (slowdown-1)*growingPart))
}

// addSlowed adds the service time of a request that began under a slowdown. It returns the
// time that the request would have taken without the slowdown.
func (e *estimate) addSlowed(d time.Duration, slowdown float64) time.Duration {
	if expected := e.typical.Load(); expected > 0 && slowdown >= minLearningSlowdown {
		growth := (float64(d)/float64(expected) - 1) / (slowdown - 1)
		fixed := math.Float64frombits(e.fixedPart.Load())
		e.fixedPart.Store(math.Float64bits(fixed + fixedPartGain*(1-growth-fixed)))
	}
	normalised := time.Duration(float64(d) / (float64(e.slowed(scale, slowdown)) / float64(scale)))
	e.add(normalised)
	return normalised
}

// scale is a duration that is long in relation to the rounding error of a product.
const scale = time.Hour

// minLearningSlowdown is the least slowdown at which fixedPart is learned: at a smaller one
// the variation between requests outweighs the effect of the slowdown.
const minLearningSlowdown = 1.5

// fixedPartGain is the weight of one sample in fixedPart. It is small because the service time
// that a single request would have had without the slowdown isn't known.
const fixedPartGain = 0.02

// add adds the service time of a request, as it is without a slowdown.
func (e *estimate) add(d time.Duration) {
	e.samples.Add(1)
	addToMean(&e.mean, d)
	addToMean(&e.typical, d)
	old := e.lowNanos.Load()
	switch sample := int64(d); {
	case old == 0:
		e.lowNanos.Store(sample >> downShift)
	case sample < old:
		e.lowNanos.Store(old + (sample-old)>>downShift)
	default:
		e.lowNanos.Store(old + (sample-old)>>upShift)
	}
}

// addToMean adds a service time to an exponential moving average, which is 0 before the
// first sample.
func addToMean(mean *atomic.Int64, d time.Duration) {
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(d))
		return
	}
	mean.Store(old + (int64(d)-old)>>meanShift)
}

// tick decays the estimates if no request has completed since the previous tick.
func (e *estimate) tick() {
	n := e.samples.Load()
	if n == e.samplesAtTick {
		old := e.lowNanos.Load()
		e.lowNanos.Store(old - old>>decayShift)
		mean := e.mean.Load()
		e.mean.Store(mean - mean>>decayShift)
	}
	e.samplesAtTick = n
}

// estimates holds the service time estimates of a backend server: by workload, and
// over all workloads.
type estimates struct {
	perwork.Map[estimate]
	all estimate
}

// add adds the service time of a request that began without a slowdown.
func (e *estimates) add(w model.Work, took time.Duration) {
	e.Of(w).add(took)
	e.all.add(took)
}

// addSlowed adds the service time of a request that began under a slowdown.
func (e *estimates) addSlowed(w model.Work, took time.Duration, slowdown float64) {
	e.all.add(e.Of(w).addSlowed(took, slowdown))
}

// tick decays the estimates of all workloads without a completed request since the
// previous tick.
func (e *estimates) tick() {
	e.all.tick()
	e.Each(func(_ model.Work, v *estimate) { v.tick() })
}
