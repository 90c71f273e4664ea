package share

import (
	"maps"
	"math"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// smoother smooths a node's demand with a peak hold, so that random variations
// of a low demand are not reported: increases and drops beyond random
// variation apply at once, other decreases only after a window.
type smoother struct {
	window int // measurements in a window
	limits map[string]*peakHold
}

// peakHold is the smoothed demand of a node on one limit.
type peakHold struct {
	demand    Amount
	peak      Amount // largest measurement of the current window
	remaining int    // measurements until the window ends
}

func newSmoother(window int) *smoother {
	return &smoother{window: window, limits: make(map[string]*peakHold)}
}

// decreaseThreshold is the fraction of the demand below which the peak of a window
// must be for the demand to be lowered to that peak.
const decreaseThreshold = 0.7

// update adds a measurement and returns the smoothed demand on each limit.
func (s *smoother) update(items []message.DemandItem) map[string]Amount {
	measured := demandByLimit(items)
	for limit := range measured {
		if s.limits[limit] == nil {
			s.limits[limit] = &peakHold{remaining: s.window}
		}
	}
	maps.DeleteFunc(s.limits, func(limit string, p *peakHold) bool {
		_, inUse := measured[limit]
		p.update(measured[limit], s.window)
		return !inUse && p.demand == Amount{}
	})
	out := make(map[string]Amount, len(s.limits))
	for limit, p := range s.limits {
		out[limit] = p.demand
	}
	return out
}

func (p *peakHold) update(a Amount, window int) {
	p.demand = Amount{
		PerSecond:   followDemand(p.demand.PerSecond, a.PerSecond),
		Concurrency: followDemand(p.demand.Concurrency, a.Concurrency),
	}
	p.peak = p.peak.larger(a)
	p.remaining--
	if p.remaining > 0 {
		return
	}
	p.demand = Amount{
		PerSecond:   lowerToPeak(p.demand.PerSecond, p.peak.PerSecond),
		Concurrency: lowerToPeak(p.demand.Concurrency, p.peak.Concurrency),
	}
	p.peak, p.remaining = Amount{}, window
}

// noiseDeviations is the number of standard deviations of a Poisson process by
// which a measurement below the demand counts as random variation. A larger
// drop is applied at once.
const noiseDeviations = 3

func followDemand(demand, measured float64) float64 {
	if measured < demand-noiseDeviations*math.Sqrt(demand) {
		return measured
	}
	return max(demand, measured)
}

func lowerToPeak(demand, peak float64) float64 {
	if peak < decreaseThreshold*demand {
		return peak
	}
	return demand
}

// reuseLast returns, in each dimension, the last amount if it is allowed and
// close enough to a, else a. A small change is not worth a message.
func reuseLast(last, a, allowed Amount) Amount {
	return Amount{
		PerSecond:   reuseLastValue(last.PerSecond, a.PerSecond, allowed.PerSecond),
		Concurrency: reuseLastValue(last.Concurrency, a.Concurrency, allowed.Concurrency),
	}
}

// minReuse and maxReuse bound the ratio of the last amount to the new one
// within which the last one is kept.
const minReuse, maxReuse = 0.97, 1.2

func reuseLastValue(last, a, allowed float64) float64 {
	if last <= allowed && minReuse*a <= last && last <= maxReuse*a {
		return last
	}
	return a
}

// reportDemand returns the amount to report for a summed demand: the last
// report while it covers the sum without exceeding it by much, else the sum
// with a margin.
func reportDemand(last, sum Amount) Amount {
	return Amount{
		PerSecond:   reportDemandValue(last.PerSecond, sum.PerSecond),
		Concurrency: reportDemandValue(last.Concurrency, sum.Concurrency),
	}
}

// reportMargin is the factor by which a new report exceeds the sum, so that
// small increases need no report. A new report is also due once the sum falls
// below reportLowerBound times the last one.
const reportMargin, reportLowerBound = 1.02, 0.8

func reportDemandValue(last, sum float64) float64 {
	if sum <= last && reportLowerBound*last <= sum {
		return last
	}
	return reportMargin * sum
}

// inUseLowerBound is the least fraction of reported grants in use that is
// really in use, for each node that sums the reports. inUseMargin is the
// factor by which a new report exceeds the grants in use.
const inUseLowerBound, inUseMargin = 0.97, 1.01

// reportInUse returns the amount to report as grants in use. It never
// underestimates them.
func reportInUse(last, inUse Amount) Amount {
	return Amount{
		PerSecond:   reportInUseValue(last.PerSecond, inUse.PerSecond),
		Concurrency: reportInUseValue(last.Concurrency, inUse.Concurrency),
	}
}

func reportInUseValue(last, inUse float64) float64 {
	if inUse <= last && inUseLowerBound*last <= inUse {
		return last
	}
	return inUseMargin * inUse
}

// certainFraction returns the fraction of the reported grants in use that is
// certain to be in use, after summing over the given number of hops.
func certainFraction(hops uint32) float64 { return math.Pow(inUseLowerBound, float64(hops)+1) }
