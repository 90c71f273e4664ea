package share

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

func TestSteadyFollowsUpAtOnceAndDownLate(t *testing.T) {
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
		s := newSteady(4)
		var got []float64
		for _, x := range c.measured {
			var items []message.DemandItem
			if x > 0 {
				items = append(items, message.DemandItem{Limit: "tabla", PerSecond: x})
			}
			got = append(got, s.measure(items)["tabla"].PerSecond)
		}
		must.Eq(t, c.want, got, must.Sprint(c.name))
		if c.name == "ends" {
			must.MapEmpty(t, s.limits)
		}
	}
}
