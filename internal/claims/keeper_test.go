package claims_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/internal/claims"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

var (
	booking = claim.Fingerprint{Method: "POST", Target: "/rooms/7"}
	booked  = claim.Answer{Status: 201, Body: []byte("booked")}
)

const settleTime = time.Minute // long enough for all background work

func newKeeper(name string, tb *table) *claims.Keeper {
	cfg := claims.DefaultConfig()
	cfg.Node = "node-a"
	if name != "" {
		cfg.Node = "node-b"
	}
	return claims.New(cfg, tb)
}

func begin(k *claims.Keeper, key string) (*claims.Claim, claims.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return k.Begin(ctx, "kovacsne", key, booking)
}

// describe returns a verdict as text: "proceed", "replay" with the body, or the
// outcome and reason of a refusal.
func describe(v claims.Verdict) string {
	switch v.Kind {
	case claims.Proceed:
		return "proceed"
	case claims.Replay:
		return "replay " + string(v.Answer.Body)
	}
	return string(v.Refusal.Outcome) + " " + string(v.Refusal.Reason)
}

const (
	inProgress     = string(outcome.Unknown) + " " + string(outcome.ReasonInProgress)
	unavailable    = string(outcome.NotRun) + " " + string(outcome.ReasonPlatform)
	deadlinePassed = string(outcome.NotRun) + " " + string(outcome.ReasonDeadline)
	outcomeLost    = string(outcome.Unknown) + " " + string(outcome.ReasonOutcomeLost)
)

func TestTwoNodesOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		keepers := []*claims.Keeper{newKeeper("", tb), newKeeper("b", tb)}
		var wg sync.WaitGroup
		held := make([]*claims.Claim, 2)
		results := make([]string, 2)
		for i, k := range keepers {
			wg.Go(func() {
				c, v := begin(k, "k1")
				held[i], results[i] = c, describe(v)
			})
		}
		wg.Wait()
		winner := 0
		if held[0] == nil {
			winner = 1
		}
		must.Eq(t, "proceed", results[winner])
		must.Eq(t, inProgress, results[1-winner])
		must.True(t, held[winner].Dispatch())
		held[winner].Done(booked)
		must.NoError(t, keepers[winner].Close(context.Background()))
		_, v := begin(keepers[1-winner], "k1")
		must.Eq(t, "replay booked", describe(v))
	})
}

// TestFaults injects faults into the first request at one node and checks its
// verdict and those of an early and a late retry at another node.
func TestFaults(t *testing.T) {
	run := func(c *claims.Claim) { c.Dispatch(); c.Done(booked) }
	cases := []struct {
		name                string
		next                []fault
		use                 func(*claims.Claim)
		first, early, later string
	}{
		{"no fault", nil, run, "proceed", inProgress, "replay booked"},
		{"response lost", []fault{responseLost}, run, "proceed", inProgress, "replay booked"},
		{"write lost", []fault{requestLost}, run, "proceed", inProgress, "replay booked"},
		{"write refused", []fault{rejected}, nil, unavailable, "proceed", "proceed"},
		{"responses of three writes lost", []fault{requestLost, requestLost, responseLost}, run, "proceed", inProgress, "replay booked"},
		{"all writes lost", []fault{requestLost, requestLost, requestLost}, nil, unavailable, "proceed", "proceed"},
		{"outcome lost at first", []fault{none, requestLost, rejected, responseLost}, run, "proceed", inProgress, "replay booked"},
		{"certain not-run", nil, (*claims.Claim).NotRun, "proceed", inProgress, "proceed"},
		{"release lost at first", []fault{none, requestLost}, (*claims.Claim).NotRun, "proceed", inProgress, "proceed"},
		{"backend connection broke", nil, (*claims.Claim).Unknown, "proceed", inProgress, outcomeLost},
		{"killed while holding", nil, nil, "proceed", inProgress, outcomeLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTable()
				tb.next = c.next
				a, b := newKeeper("", tb), newKeeper("b", tb)
				held, v := begin(a, "k1")
				must.Eq(t, c.first, describe(v))
				if held != nil && c.use != nil {
					c.use(held)
				}
				retry, v := begin(b, "k1")
				must.Eq(t, c.early, describe(v))
				if retry != nil {
					retry.NotRun()
				}
				time.Sleep(3 * settleTime)
				_, v = begin(b, "k1")
				must.Eq(t, c.later, describe(v))
			})
		})
	}
}

// TestPause pauses the node that holds a claim before it sends the request,
// while a retry arrives at another node: the request must not run twice.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		a, b := newKeeper("", tb), newKeeper("b", tb)
		paused, _ := begin(a, "k1")
		time.Sleep(10 * time.Minute)
		_, v := begin(b, "k1")
		must.Eq(t, outcomeLost, describe(v))
		must.False(t, paused.Dispatch())
		paused.NotRun()
		time.Sleep(settleTime)
		must.False(t, paused.Dispatch())
		next, v := begin(b, "k1")
		must.Eq(t, "proceed", describe(v))
		must.True(t, next.Dispatch())
	})
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		k, idle := newKeeper("", tb), newKeeper("b", tb)
		held, _ := begin(k, "k1")
		tb.set(func() { tb.down = true })
		for range 3 {
			begin(idle, "k2")
		}
		tb.set(func() { tb.transacts = 0 })
		for i := range 10 {
			_, v := begin(k, fmt.Sprint("other", i))
			must.Eq(t, unavailable, describe(v))
			must.True(t, v.Refusal.RetryAfter > 0)
		}
		must.Eq(t, 3, tb.transacts, must.Sprint("calls to an unavailable table service continue"))
		must.True(t, held.Dispatch())
		held.Done(booked)
		time.Sleep(settleTime)
		tb.set(func() { tb.down = false })
		time.Sleep(settleTime)
		_, v := begin(idle, "k1")
		must.Eq(t, "replay booked", describe(v))
		_, v = begin(k, "k2")
		must.Eq(t, "proceed", describe(v))
	})
}

// TestDeadline lets the caller's deadline pass during a slow write of its
// claim: the request is refused as not-run at once and the key is released
// afterwards.
func TestDeadline(t *testing.T) {
	for _, f := range []fault{none, responseLost, requestLost, rejected} {
		synctest.Test(t, func(t *testing.T) {
			tb := newTable()
			tb.latency, tb.next = 300*time.Millisecond, []fault{f}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, v := newKeeper("", tb).Begin(ctx, "kovacsne", "k1", booking)
			must.Eq(t, deadlinePassed, describe(v))
			must.Eq(t, 100*time.Millisecond, time.Since(began))
			time.Sleep(settleTime)
			_, v = begin(newKeeper("b", tb), "k1")
			must.Eq(t, "proceed", describe(v), must.Sprint("fault ", f))
		})
	}
}

// TestBatch batches a claimed key with new keys, and one new key twice: the
// failed condition must not fail the other writes, and each key is claimed
// once.
func TestBatch(t *testing.T) {
	for _, keys := range [][]string{{"held", "a", "b", "c"}, {"twin", "twin", "a", "b"}} {
		synctest.Test(t, func(t *testing.T) {
			k := newKeeper("", newTable())
			begin(k, "held")
			var wg sync.WaitGroup
			results := make([]string, len(keys))
			for i, key := range keys {
				wg.Go(func() {
					_, v := begin(k, key)
					results[i] = describe(v)
				})
			}
			wg.Wait()
			slices.Sort(results)
			must.Eq(t, []string{"proceed", "proceed", "proceed", inProgress}, results)
		})
	}
}

// TestSweep checks that a sweep deletes expired records, keeps recent ones and
// continues after a record that changed since it was listed.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		k := newKeeper("", tb)
		for i := range 40 {
			c, _ := begin(k, fmt.Sprint("old", i))
			c.Done(booked)
		}
		time.Sleep(claim.DefaultConfig().RetainFor)
		c, _ := begin(k, "young")
		c.Done(booked)
		time.Sleep(settleTime)
		tb.changed = claim.ItemKey("kovacsne", "old7")
		began := time.Now()
		swept, err := k.Sweep(context.Background(), "kovacsne")
		must.NoError(t, err)
		took := claims.DefaultConfig().SweepPause + 3*tb.latency // three transactions, one of them with a failed condition
		must.Eq(t, took, time.Since(began), must.Sprint("deletes are not spaced"))
		must.Eq(t, claims.Swept{Read: 41, Deleted: 39}, swept)
		_, v := begin(k, "young")
		must.Eq(t, "replay booked", describe(v))
	})
}

// TestWritesPerBooking bounds the transactions per booking of one node under
// several loads, and logs the transactions, writes and reads.
func TestWritesPerBooking(t *testing.T) {
	cases := []struct {
		perSecond int
		max       int
		bound     float64 // transactions per booking
	}{
		{1, 1, 2}, {1, 25, 2}, {100, 1, 2}, {100, 25, 1.5}, {1000, 1, 2}, {1000, 25, 0.5},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			tb := newTable()
			cfg := claims.DefaultConfig()
			cfg.Batch.Max = c.max
			cfg.Batch.InFlight = 64
			k := claims.New(cfg, tb)
			const bookings = 500
			var wg sync.WaitGroup
			var mu sync.Mutex
			var waited time.Duration
			for i := range bookings {
				wg.Go(func() {
					began := time.Now()
					held, _ := begin(k, fmt.Sprint("k", i))
					mu.Lock()
					waited += time.Since(began)
					mu.Unlock()
					held.Done(booked)
				})
				time.Sleep(time.Second / time.Duration(c.perSecond))
			}
			wg.Wait()
			must.NoError(t, k.Close(context.Background()))
			each := float64(tb.transacts) / bookings
			t.Logf("%d/s, at most %d a transaction: %.2f transactions, %.2f writes, %.2f reads a booking, mean wait %v",
				c.perSecond, c.max, each, float64(tb.writes)/bookings, float64(tb.reads)/bookings, waited/bookings)
			must.True(t, each <= c.bound, must.Sprint(each))
		})
	}
}
