package share

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

func TestSmootherRaisesAtOnceAndLowersLate(t *testing.T) {
	cases := []struct {
		name           string
		measured, want []float64 // the window is 4
	}{
		{"rises at once", []float64{2, 5, 9}, []float64{2, 5, 9}},
		{"random changes", []float64{5, 4, 3, 5, 4, 5}, []float64{5, 5, 5, 5, 5, 5}},
		{"falls late", []float64{5, 2, 2, 2, 3, 2, 2, 2, 1}, []float64{5, 5, 5, 5, 5, 5, 5, 3, 3}},
		{"falls far at once", []float64{100, 60, 60}, []float64{100, 60, 60}},
		{"ends", []float64{1, 0, 0, 0, 0, 0, 0, 0, 0}, []float64{1, 1, 1, 1, 1, 1, 1, 0, 0}},
	}
	for _, c := range cases {
		s := newSmoother(4)
		var got []float64
		for _, x := range c.measured {
			var items []message.DemandItem
			if x > 0 {
				items = append(items, message.DemandItem{Limit: "tabla", PerSecond: x})
			}
			got = append(got, s.update(items)["tabla"].PerSecond)
		}
		must.Eq(t, c.want, got, must.Sprint(c.name))
		if c.name == "ends" {
			must.MapEmpty(t, s.limits)
		}
	}
}

// TestReportedGrantsBoundGrantsInUse checks a report of grants in use that
// each node on a path may round up: it is never too low, and the part of it
// that counts as certain is never too high.
func TestReportedGrantsBoundGrantsInUse(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	const hops = 3
	inUse := 100.0
	var reported [hops + 1]Amount
	changes := 0
	for range 1000 {
		inUse *= 0.98 + 0.04*r.Float64()
		before, up := reported[hops], Amount{PerSecond: inUse}
		for i := range reported {
			reported[i] = reportInUse(reported[i], up)
			up = reported[i]
		}
		if reported[hops] != before {
			changes++
		}
		must.GreaterEq(t, inUse, up.PerSecond)
		must.LessEq(t, inUse*(1+tolerance), up.times(certainFraction(hops)).PerSecond)
	}
	must.Less(t, 500, changes)
}
