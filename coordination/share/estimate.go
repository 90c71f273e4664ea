package share

import (
	"maps"
	"math"
	"slices"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Parameters of an Estimator.
const (
	// estimateIntervals is the number of measurements that an estimate covers. At
	// two requests a second, every seventh interval of a second has no request.
	estimateIntervals = 5
	// estimateDeviations is the number of standard deviations of a Poisson
	// process by which an estimate exceeds the mean.
	estimateDeviations = 2
)

// Estimator estimates the demand that a node should report from the demand
// measured in single intervals. At a node that serves few requests, demand
// changes by a large factor from one interval to the next: a share equal to
// the demand of one interval would be too small in most others. It is not safe
// for concurrent use.
type Estimator struct {
	window [estimateIntervals]map[string]Amount // ring buffer of measurements
	next   int
}

// NewEstimator returns an estimator without measurements.
func NewEstimator() *Estimator { return &Estimator{} }

// Estimate adds the newest measurement. It returns, sorted by name, an
// estimate for each limit used in the last estimateIntervals: the mean or the
// newest measurement, whichever is larger, plus estimateDeviations standard
// deviations.
func (e *Estimator) Estimate(measured []message.DemandItem) []message.DemandItem {
	latest := make(map[string]Amount, len(measured))
	for _, item := range measured {
		latest[item.Limit] = Amount{PerSecond: item.PerSecond, Concurrency: item.InFlight}
	}
	e.window[e.next] = latest
	e.next = (e.next + 1) % estimateIntervals
	sum := make(map[string]Amount)
	for _, m := range e.window {
		for limit, a := range m {
			sum[limit] = sum[limit].plus(a)
		}
	}
	out := make([]message.DemandItem, 0, len(sum))
	for _, limit := range slices.Sorted(maps.Keys(sum)) {
		mean := sum[limit].times(1.0 / estimateIntervals).larger(latest[limit])
		out = append(out, message.DemandItem{
			Limit:     limit,
			PerSecond: withDeviations(mean.PerSecond),
			InFlight:  max(withDeviations(mean.Concurrency), 1),
		})
	}
	return out
}

func withDeviations(mean float64) float64 { return mean + estimateDeviations*math.Sqrt(mean) }
