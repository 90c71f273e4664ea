package share

import (
	"cmp"
	"slices"
	"strings"
)

// claim is the amount that one claimant requests, and its weight.
type claim struct {
	want   Amount
	weight float64
}

// fill divides total by weighted max-min fairness: no claimant gets more than
// it requests, and the remainder is divided among the others by weight.
func fill(total Amount, claims []claim) []Amount {
	out := make([]Amount, len(claims))
	rate := fillDimension(total.PerSecond, claims, func(a Amount) float64 { return a.PerSecond })
	concurrency := fillDimension(total.Concurrency, claims, func(a Amount) float64 { return a.Concurrency })
	for i := range out {
		out[i] = Amount{rate[i], concurrency[i]}
	}
	return out
}

func fillDimension(total float64, claims []claim, dimension func(Amount) float64) []float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i := range claims {
		order[i] = i
		weights += claims[i].weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(dimension(claims[a].want)/claims[a].weight, dimension(claims[b].want)/claims[b].weight)
	})
	out := make([]float64, len(claims))
	remaining := max(total, 0)
	for _, i := range order {
		c := claims[i]
		out[i] = min(dimension(c.want), remaining*c.weight/weights)
		remaining -= out[i]
		weights -= c.weight
	}
	return out
}

func splitLimitName(limit string) (organisation, class string, isClass bool) {
	return strings.Cut(limit, "/")
}
