package share

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// TestEstimateCoversLowRates compares estimates with shares equal to the
// demand of the last interval, which refuse much of a low rate. The estimate
// covers nearly all of it, and ends soon after the demand does.
func TestEstimateCoversLowRates(t *testing.T) {
	t.Parallel()
	const mean, seconds = 2.0, 2000
	r := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator()
	var offered, missedLast, missedEstimate, last, estimate float64
	for range seconds {
		n := 0.0
		for range 1000 {
			if r.Float64() < mean/1000 {
				n++
			}
		}
		offered += n
		missedLast += max(0, n-last)
		missedEstimate += max(0, n-estimate)
		last, estimate = n, 0
		for _, item := range e.Estimate([]message.DemandItem{{Limit: "tabla", PerSecond: n, InFlight: n / 100}}) {
			estimate = item.PerSecond
		}
	}
	must.Greater(t, 0.3, missedLast/offered)
	must.Less(t, 0.03, missedEstimate/offered)
	for range estimateIntervals - 1 {
		must.Len(t, 1, e.Estimate(nil))
	}
	must.SliceEmpty(t, e.Estimate(nil))
}
