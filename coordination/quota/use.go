package quota

import (
	"math"
	"time"
)

// useTime is the time constant with which events fall out of a use.
const useTime = 300 * time.Millisecond

// use estimates how many events come a second, with an exponentially decaying sum.
type use struct {
	sum float64
	at  time.Time
}

func (u *use) add(now time.Time, n float64) {
	u.decay(now)
	u.sum += n
}

func (u *use) decay(now time.Time) {
	if passed := now.Sub(u.at); passed > 0 {
		u.sum *= math.Exp(-passed.Seconds() / useTime.Seconds())
		u.at = now
	}
}

func (u *use) perSecond(now time.Time) float64 {
	u.decay(now)
	return u.sum / useTime.Seconds()
}

// reserveTime is how long a node may use a token that it holds in reserve.
const reserveTime = 500 * time.Millisecond

// reserved sums what was given in reserve and may still be held: between one and two times
// reserveTime.
type reserved struct {
	current, before float64
	since           time.Time
}

func (r *reserved) add(now time.Time, n float64) {
	r.turn(now)
	r.current += n
}

func (r *reserved) sum(now time.Time) float64 {
	r.turn(now)
	return r.current + r.before
}

func (r *reserved) turn(now time.Time) {
	switch passed := now.Sub(r.since); {
	case passed >= 2*reserveTime:
		r.current, r.before, r.since = 0, 0, now
	case passed >= reserveTime:
		r.current, r.before, r.since = 0, r.current, now
	}
}
