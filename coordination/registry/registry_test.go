package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A partition of the store's table accepts 150 writes a second. If all nodes registered
// at once, the writes of 295 nodes would take two seconds, those of 4,300 half a minute.
func TestFewNodesRegisterWhenAllStartAtOnce(t *testing.T) {
	const (
		zones = 5
		write = 12 * time.Millisecond // delay until a write is visible to readers
	)
	cfg := DefaultConfig()
	for _, perZone := range []int{2, 59, 860} {
		writes := 0
		for zone := range uint64(zones) {
			rng := rand.New(rand.NewPCG(zone, 1))
			var reads, visible []time.Duration
			var waiting []int // number of nodes listed, for each node that didn't register at once
			for range perZone {
				started := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
				reads = append(reads, started+cfg.StartDelay(true, rng.Float64()))
			}
			for len(reads) > 0 {
				at := takeEarliest(&reads)
				listed := 0
				for _, s := range visible {
					if s <= at {
						listed++
					}
				}
				if cfg.Register(View{Listed: listed, Rank: perZone}) {
					visible = append(visible, at+write)
				} else {
					waiting = append(waiting, listed)
				}
			}
			rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
			for rank, listed := range waiting { // register by rank, once the members are known
				if cfg.Register(View{Listed: listed, Rank: rank, Age: cfg.RankAfter}) {
					visible = append(visible, cfg.RankAfter)
				}
			}
			writes += len(visible)
		}
		t.Logf("%d hosts: %d writes", zones*perZone, writes)
		must.LessEq(t, zones*(cfg.PerZone+perZone/40), writes)
		must.GreaterEq(t, zones*min(perZone, cfg.PerZone), writes)
	}
}

// takeEarliest removes the earliest time and returns it.
func takeEarliest(times *[]time.Duration) time.Duration {
	first := 0
	for i, at := range *times {
		if at < (*times)[first] {
			first = i
		}
	}
	at := (*times)[first]
	*times = append((*times)[:first], (*times)[first+1:]...)
	return at
}

func TestRegister(t *testing.T) {
	cfg := DefaultConfig()
	for name, tc := range map[string]struct {
		view View
		want bool
	}{
		"fewer than the minimum are registered":  {View{Listed: cfg.MinPerZone - 1, Rank: 50}, true},
		"few are registered":                     {View{Listed: cfg.PerZone - 1, Rank: cfg.PerZone - cfg.MinPerZone - 1, Age: cfg.RankAfter}, true},
		"few are registered, rank too high":      {View{Listed: cfg.PerZone - 1, Rank: cfg.PerZone - cfg.MinPerZone, Age: time.Hour}, false},
		"few are registered, rank not known yet": {View{Listed: cfg.PerZone - 1}, false},
		"enough are registered":                  {View{Listed: cfg.PerZone, Rank: 50, Age: time.Hour}, false},
		"none of those listed responds":          {View{Listed: cfg.PerZone, Rank: 50, Alone: true, Age: cfg.RankAfter}, true},
		"alone for a short time":                 {View{Listed: cfg.PerZone, Rank: 50, Alone: true, Age: cfg.RankAfter / 2}, false},
		"first of the zone":                      {View{Listed: cfg.PerZone, Age: cfg.KeepAfter}, true},
		"first of the zone while it starts":      {View{Listed: cfg.PerZone, Age: cfg.KeepAfter / 2}, false},
		"rank too high for a keeper":             {View{Listed: cfg.PerZone, Rank: cfg.Keepers, Age: time.Hour}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, cfg.Register(tc.view)) })
	}
}

func TestOnlyTheFirstStartIsSpread(t *testing.T) {
	cfg := DefaultConfig()
	must.Eq(t, 0, cfg.StartDelay(false, 0.9))
	must.Eq(t, cfg.Spread/2, cfg.StartDelay(true, 0.5))
}
