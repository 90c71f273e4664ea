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

// recent sums what was counted in the last period, and of the one before as well at times: between
// one and two of them.
type recent struct {
	current, before float64
	since           time.Time
}

func (r *recent) add(now time.Time, period time.Duration, n float64) {
	r.turn(now, period)
	r.current += n
}

func (r *recent) sum(now time.Time, period time.Duration) float64 {
	r.turn(now, period)
	return r.current + r.before
}

func (r *recent) turn(now time.Time, period time.Duration) {
	switch passed := now.Sub(r.since); {
	case passed >= 2*period:
		r.current, r.before, r.since = 0, 0, now
	case passed >= period:
		r.current, r.before, r.since = 0, r.current, now
	}
}
