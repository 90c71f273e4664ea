package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/internal/claims"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// TestFaultyStore lets callers retry bookings at many nodes while the store is
// slow and loses requests and responses. Each key must have run at most once,
// and none may be stuck afterwards.
func TestFaultyStore(t *testing.T) {
	const nodes, keys, callers, tries = 8, 25, 3, 6
	synctest.Test(t, func(t *testing.T) {
		faults := platformtest.Faults{LoseAnswers: 0.2, LoseRequests: 0.2}
		s := platformtest.New(faults, 5)
		var keepers []*claims.Keeper
		for range nodes {
			cfg := claims.DefaultConfig()
			cfg.CallTimeout = time.Second
			cfg.FailuresToStop = 20
			keepers = append(keepers, claims.New(cfg, s.Table()))
		}
		var mu sync.Mutex
		runs := make(map[string]int)
		call := func(rng *rand.Rand, key string) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(5))*time.Second)
			defer cancel()
			c, _ := keepers[rng.IntN(nodes)].Begin(ctx, "kovacsne", key, booking)
			if c == nil {
				return
			}
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
			if rng.IntN(3) == 0 || !c.Dispatch() {
				c.NotRun()
				return
			}
			mu.Lock()
			runs[key]++
			mu.Unlock()
			c.Done(claim.Answer{Status: 201, Body: []byte(key)})
		}
		var wg sync.WaitGroup
		for i := range keys * callers {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			wg.Go(func() {
				for range tries {
					call(rng, fmt.Sprint("k", i%keys))
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
			})
		}
		for i := range 20 { // every other second, calls exceed their timeout
			faults.Delay = model.Duration(time.Duration(1+14*(i%2)) * 100 * time.Millisecond)
			s.SetFaults(faults)
			time.Sleep(time.Second)
		}
		wg.Wait()
		s.SetFaults(platformtest.Faults{})
		time.Sleep(2 * settleTime)
		for i := range keys {
			key := fmt.Sprint("k", i)
			must.True(t, runs[key] <= 1, must.Sprint(key, " ran ", runs[key], " times"))
			_, v := begin(keepers[i%nodes], key)
			want := "proceed"
			if runs[key] == 1 {
				want = "replay " + key
			}
			must.Eq(t, want, describe(v), must.Sprint(key))
		}
	})
}

// BenchmarkBooking measures the processor time of one booking, without the
// latency of the table service.
func BenchmarkBooking(b *testing.B) {
	k := claims.New(claims.DefaultConfig(), &table{items: newTable().items})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, _ := begin(k, fmt.Sprint(i))
		c.Done(booked)
	}
}
