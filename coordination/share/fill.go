package share

import (
	"cmp"
	"slices"
	"strings"
)

// claim is what one claimant asks for and its weight.
type claim struct {
	want   Amount
	weight float64
}

// fill shares total out by weighted max-min fairness: nobody gets more than it
// wants, and what one leaves goes to the others by weight.
func fill(total Amount, claims []claim) []Amount {
	out := make([]Amount, len(claims))
	rate := fillOne(total.PerSecond, claims, func(a Amount) float64 { return a.PerSecond })
	concurrency := fillOne(total.Concurrency, claims, func(a Amount) float64 { return a.Concurrency })
	for i := range out {
		out[i] = Amount{rate[i], concurrency[i]}
	}
	return out
}

func fillOne(total float64, claims []claim, of func(Amount) float64) []float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i := range claims {
		order[i] = i
		weights += claims[i].weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(of(claims[a].want)/claims[a].weight, of(claims[b].want)/claims[b].weight)
	})
	out := make([]float64, len(claims))
	left := max(total, 0)
	for _, i := range order {
		c := claims[i]
		out[i] = min(of(c.want), left*c.weight/weights)
		left -= out[i]
		weights -= c.weight
	}
	return out
}

func cutName(limit string) (organisation, class string, isClass bool) {
	return strings.Cut(limit, "/")
}
