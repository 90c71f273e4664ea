package quota

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay of a rateEstimate.
const rateTimeConstant = 300 * time.Millisecond

// rateEstimate estimates the events per second from an exponentially decaying sum.
type rateEstimate struct {
	sum     float64
	updated time.Time
}

func (e *rateEstimate) add(now time.Time, n float64) {
	e.decay(now)
	e.sum += n
}

func (e *rateEstimate) decay(now time.Time) {
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		e.sum *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		e.updated = now
	}
}

func (e *rateEstimate) perSecond(now time.Time) float64 {
	e.decay(now)
	return e.sum / rateTimeConstant.Seconds()
}

// reserveLifetime is how long a node may use a token that it holds in advance.
const reserveLifetime = 500 * time.Millisecond

// windowSum is a sum over the current and the previous period, which together span between one and
// two periods.
type windowSum struct {
	current, previous float64
	start             time.Time
}

func (w *windowSum) add(now time.Time, period time.Duration, n float64) {
	w.rotate(now, period)
	w.current += n
}

func (w *windowSum) sum(now time.Time, period time.Duration) float64 {
	w.rotate(now, period)
	return w.current + w.previous
}

func (w *windowSum) rotate(now time.Time, period time.Duration) {
	switch elapsed := now.Sub(w.start); {
	case elapsed >= 2*period:
		w.current, w.previous, w.start = 0, 0, now
	case elapsed >= period:
		w.current, w.previous, w.start = 0, w.current, now
	}
}
