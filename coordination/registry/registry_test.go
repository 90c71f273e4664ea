package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A part of the store's table takes 150 writes a second: 295 nodes that all
// register at once wait for two seconds, 4,300 for half a minute.
func TestFewRegisterWhereAllStartAtOnce(t *testing.T) {
	const (
		zones = 5
		write = 12 * time.Millisecond // until a write is seen
	)
	cfg := DefaultConfig()
	for _, perZone := range []int{2, 59, 860} {
		writes := 0
		for zone := range uint64(zones) {
			rng := rand.New(rand.NewPCG(zone, 1))
			var looks, seen []time.Duration
			var waiting []int // number of nodes listed, by node that didn't register at once
			for range perZone {
				started := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
				looks = append(looks, started+cfg.StartDelay(true, rng.Float64()))
			}
			for len(looks) > 0 {
				at := least(&looks)
				listed := 0
				for _, s := range seen {
					if s <= at {
						listed++
					}
				}
				if cfg.Register(View{Listed: listed, Rank: perZone}) {
					seen = append(seen, at+write)
				} else {
					waiting = append(waiting, listed)
				}
			}
			rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
			for rank, listed := range waiting { // by rank, once the members are known
				if cfg.Register(View{Listed: listed, Rank: rank, Age: cfg.RankAfter}) {
					seen = append(seen, cfg.RankAfter)
				}
			}
			writes += len(seen)
		}
		t.Logf("%d hosts: %d writes", zones*perZone, writes)
		must.LessEq(t, zones*(cfg.PerZone+perZone/40), writes)
		must.GreaterEq(t, zones*min(perZone, cfg.PerZone), writes)
	}
}

// least takes the earliest time out.
func least(times *[]time.Duration) time.Duration {
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
		"nobody of those listed is there":        {View{Listed: cfg.PerZone, Rank: 50, Alone: true, Age: cfg.RankAfter}, true},
		"alone for a moment":                     {View{Listed: cfg.PerZone, Rank: 50, Alone: true, Age: cfg.RankAfter / 2}, false},
		"first of the zone":                      {View{Listed: cfg.PerZone, Age: cfg.KeepAfter}, true},
		"seems the first while it starts":        {View{Listed: cfg.PerZone, Age: cfg.KeepAfter / 2}, false},
		"a later node has found the fleet":       {View{Listed: cfg.PerZone, Rank: cfg.Keepers, Age: time.Hour}, false},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, cfg.Register(tc.view)) })
	}
}

func TestOnlyTheFirstStartIsSpread(t *testing.T) {
	cfg := DefaultConfig()
	must.Eq(t, 0, cfg.StartDelay(false, 0.9))
	must.Eq(t, cfg.Spread/2, cfg.StartDelay(true, 0.5))
}
