package share

import (
	"maps"
	"math"
	"slices"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// Parameters of an Estimator.
const (
	// estimateIntervals is the number of measurements that an estimate covers.
	// At two requests a second every seventh second has none.
	estimateIntervals = 5
	// estimateDeviations is the number of standard deviations of a Poisson
	// process that an estimate lies above the mean.
	estimateDeviations = 2
)

// Estimator turns what was offered in single intervals into what a node should
// ask for. A node that serves few requests sees large relative changes from one
// interval to the next: a share as large as the last interval's demand would
// refuse in most others. It is not safe for concurrent use.
type Estimator struct {
	last [estimateIntervals]map[string]Amount
	next int
}

// NewEstimator returns an estimator that has measured nothing.
func NewEstimator() *Estimator { return &Estimator{} }

// Estimate takes the newest measurement and returns for each limit in use
// lately the mean with estimateDeviations deviations, in order of name.
func (e *Estimator) Estimate(measured []message.DemandItem) []message.DemandItem {
	now := make(map[string]Amount, len(measured))
	for _, item := range measured {
		now[item.Limit] = Amount{PerSecond: item.PerSecond, Concurrency: item.InFlight}
	}
	e.last[e.next] = now
	e.next = (e.next + 1) % estimateIntervals
	sum := make(map[string]Amount)
	for _, m := range e.last {
		for limit, a := range m {
			sum[limit] = sum[limit].plus(a)
		}
	}
	out := make([]message.DemandItem, 0, len(sum))
	for _, limit := range slices.Sorted(maps.Keys(sum)) {
		mean := sum[limit].times(1.0 / estimateIntervals).larger(now[limit])
		out = append(out, message.DemandItem{
			Limit:     limit,
			PerSecond: withDeviation(mean.PerSecond),
			InFlight:  max(withDeviation(mean.Concurrency), 1),
		})
	}
	return out
}

func withDeviation(mean float64) float64 { return mean + estimateDeviations*math.Sqrt(mean) }
