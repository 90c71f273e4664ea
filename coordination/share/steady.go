package share

import (
	"maps"
	"math"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// steady follows a node's demand up at once and down late, so that random
// changes of a low demand are not reported.
type steady struct {
	window int // measurements after which a limit may fall
	limits map[string]*level
}

// level is what a node asks of one limit.
type level struct {
	demand Amount
	peak   Amount // largest measurement of the window
	left   int    // measurements to the window's end
}

func newSteady(window int) *steady {
	return &steady{window: window, limits: make(map[string]*level)}
}

// fallBelow is the part of the demand that a window's peak must be below for
// the demand to fall to the peak.
const fallBelow = 0.7

// measure takes a measurement and returns what to ask for.
func (s *steady) measure(items []message.DemandItem) map[string]Amount {
	now := demanded(items)
	for limit := range now {
		if s.limits[limit] == nil {
			s.limits[limit] = &level{left: s.window}
		}
	}
	maps.DeleteFunc(s.limits, func(limit string, l *level) bool {
		_, inUse := now[limit]
		l.measure(now[limit], s.window)
		return !inUse && l.demand == Amount{}
	})
	out := make(map[string]Amount, len(s.limits))
	for limit, l := range s.limits {
		out[limit] = l.demand
	}
	return out
}

func (l *level) measure(a Amount, window int) {
	l.demand = Amount{
		PerSecond:   follow(l.demand.PerSecond, a.PerSecond),
		Concurrency: follow(l.demand.Concurrency, a.Concurrency),
	}
	l.peak = l.peak.larger(a)
	l.left--
	if l.left > 0 {
		return
	}
	l.demand = Amount{
		PerSecond:   fall(l.demand.PerSecond, l.peak.PerSecond),
		Concurrency: fall(l.demand.Concurrency, l.peak.Concurrency),
	}
	l.peak, l.left = Amount{}, window
}

// randomDeviations is how many standard deviations of a Poisson process a
// measurement may lie below the demand by chance. A lower one is followed at
// once.
const randomDeviations = 3

func follow(demand, measured float64) float64 {
	if measured < demand-randomDeviations*math.Sqrt(demand) {
		return measured
	}
	return max(demand, measured)
}

func fall(demand, peak float64) float64 {
	if peak < fallBelow*demand {
		return peak
	}
	return demand
}

// near returns last where it serves as well as a and is allowed, else a: small
// changes are not worth a message.
func near(last, a, allowed Amount) Amount {
	return Amount{
		PerSecond:   nearOne(last.PerSecond, a.PerSecond, allowed.PerSecond),
		Concurrency: nearOne(last.Concurrency, a.Concurrency, allowed.Concurrency),
	}
}

// leastNear and mostNear bound the part of an amount that serves as well.
const leastNear, mostNear = 0.97, 1.2

func nearOne(last, a, allowed float64) float64 {
	if last <= allowed && leastNear*a <= last && last <= mostNear*a {
		return last
	}
	return a
}

// report returns what to report of a summed demand: the last report while it
// covers the sum and not much more, else the sum with a margin.
func report(last, sum Amount) Amount {
	return Amount{
		PerSecond:   reportOne(last.PerSecond, sum.PerSecond),
		Concurrency: reportOne(last.Concurrency, sum.Concurrency),
	}
}

// reportMargin is how much a sum may rise before it is reported again, and
// reportFall the part to which it may fall.
const reportMargin, reportFall = 1.02, 0.8

func reportOne(last, sum float64) float64 {
	if sum <= last && reportFall*last <= sum {
		return last
	}
	return reportMargin * sum
}

// heldSure is the least part of a report of grants in use that is in use, for
// each node that sums them; heldMargin is how much a new report adds.
const heldSure, heldMargin = 0.97, 1.01

// reportHeld returns what to report of the grants in use: never less.
func reportHeld(last, inUse Amount) Amount {
	return Amount{
		PerSecond:   reportHeldOne(last.PerSecond, inUse.PerSecond),
		Concurrency: reportHeldOne(last.Concurrency, inUse.Concurrency),
	}
}

func reportHeldOne(last, inUse float64) float64 {
	if inUse <= last && heldSure*last <= inUse {
		return last
	}
	return heldMargin * inUse
}

// sureOf returns the part of a report of grants in use that is in use.
func sureOf(hops uint32) float64 { return math.Pow(heldSure, float64(hops)+1) }
