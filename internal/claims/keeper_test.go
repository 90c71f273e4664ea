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

const settled = time.Minute // long enough for all background work

func node(name string, tb *table) *claims.Keeper {
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

// told is the outcome and reason of a refusal, or how else the request went.
func told(v claims.Verdict) string {
	switch v.Kind {
	case claims.Proceed:
		return "proceed"
	case claims.Replay:
		return "replay " + string(v.Answer.Body)
	}
	return string(v.Refusal.Outcome) + " " + string(v.Refusal.Reason)
}

const (
	inProgress = string(outcome.Unknown) + " " + string(outcome.ReasonInProgress)
	away       = string(outcome.NotRun) + " " + string(outcome.ReasonPlatform)
	late       = string(outcome.NotRun) + " " + string(outcome.ReasonDeadline)
	gone       = string(outcome.Unknown) + " " + string(outcome.ReasonOutcomeLost)
)

func TestTwoNodesOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		keepers := []*claims.Keeper{node("", tb), node("b", tb)}
		var wg sync.WaitGroup
		held := make([]*claims.Claim, 2)
		said := make([]string, 2)
		for i, k := range keepers {
			wg.Go(func() {
				c, v := begin(k, "k1")
				held[i], said[i] = c, told(v)
			})
		}
		wg.Wait()
		winner := 0
		if held[0] == nil {
			winner = 1
		}
		must.Eq(t, "proceed", said[winner])
		must.Eq(t, inProgress, said[1-winner])
		must.True(t, held[winner].Dispatch())
		held[winner].Done(booked)
		must.NoError(t, keepers[winner].Close(context.Background()))
		_, v := begin(keepers[1-winner], "k1")
		must.Eq(t, "replay booked", told(v))
	})
}

// TestFaults lets the first request at one node meet a fault and tells what
// it, an early repeat and a late repeat at another node are told.
func TestFaults(t *testing.T) {
	run := func(c *claims.Claim) { c.Dispatch(); c.Done(booked) }
	cases := []struct {
		name                string
		next                []fault
		use                 func(*claims.Claim)
		first, early, later string
	}{
		{"no fault", nil, run, "proceed", inProgress, "replay booked"},
		{"answer lost", []fault{answerLost}, run, "proceed", inProgress, "replay booked"},
		{"write lost", []fault{lost}, run, "proceed", inProgress, "replay booked"},
		{"write refused", []fault{refused}, nil, away, "proceed", "proceed"},
		{"answers of three writes lost", []fault{lost, lost, answerLost}, run, "proceed", inProgress, "replay booked"},
		{"all writes lost", []fault{lost, lost, lost}, nil, away, "proceed", "proceed"},
		{"outcome lost at first", []fault{none, lost, refused, answerLost}, run, "proceed", inProgress, "replay booked"},
		{"certain not-run", nil, (*claims.Claim).NotRun, "proceed", inProgress, "proceed"},
		{"release lost at first", []fault{none, lost}, (*claims.Claim).NotRun, "proceed", inProgress, "proceed"},
		{"backend connection broke", nil, (*claims.Claim).Unknown, "proceed", inProgress, gone},
		{"killed while holding", nil, nil, "proceed", inProgress, gone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTable()
				tb.next = c.next
				a, b := node("", tb), node("b", tb)
				held, v := begin(a, "k1")
				must.Eq(t, c.first, told(v))
				if held != nil && c.use != nil {
					c.use(held)
				}
				again, v := begin(b, "k1")
				must.Eq(t, c.early, told(v))
				if again != nil {
					again.NotRun()
				}
				time.Sleep(3 * settled)
				_, v = begin(b, "k1")
				must.Eq(t, c.later, told(v))
			})
		})
	}
}

// TestPause pauses an owner between its claim and its send while a repeat
// arrives: neither may run twice.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		a, b := node("", tb), node("b", tb)
		paused, _ := begin(a, "k1")
		time.Sleep(10 * time.Minute)
		_, v := begin(b, "k1")
		must.Eq(t, gone, told(v))
		must.False(t, paused.Dispatch())
		paused.NotRun()
		time.Sleep(settled)
		must.False(t, paused.Dispatch())
		next, v := begin(b, "k1")
		must.Eq(t, "proceed", told(v))
		must.True(t, next.Dispatch())
	})
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		k, idle := node("", tb), node("b", tb)
		held, _ := begin(k, "k1")
		tb.set(func() { tb.down = true })
		for range 3 {
			begin(idle, "k2")
		}
		tb.set(func() { tb.transacts = 0 })
		for i := range 10 {
			_, v := begin(k, fmt.Sprint("other", i))
			must.Eq(t, away, told(v))
			must.True(t, v.Refusal.RetryAfter > 0)
		}
		must.Eq(t, 3, tb.transacts, must.Sprint("calls into a dead platform go on"))
		must.True(t, held.Dispatch())
		held.Done(booked)
		time.Sleep(settled)
		tb.set(func() { tb.down = false })
		time.Sleep(settled)
		_, v := begin(idle, "k1")
		must.Eq(t, "replay booked", told(v))
		_, v = begin(k, "k2")
		must.Eq(t, "proceed", told(v))
	})
}

// TestDeadline lets the caller's deadline pass while its claim is written
// slowly: it is told not-run at once and the key is free again afterwards.
func TestDeadline(t *testing.T) {
	for _, f := range []fault{none, answerLost, lost, refused} {
		synctest.Test(t, func(t *testing.T) {
			tb := newTable()
			tb.latency, tb.next = 300*time.Millisecond, []fault{f}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, v := node("", tb).Begin(ctx, "kovacsne", "k1", booking)
			must.Eq(t, late, told(v))
			must.Eq(t, 100*time.Millisecond, time.Since(began))
			time.Sleep(settled)
			_, v = begin(node("b", tb), "k1")
			must.Eq(t, "proceed", told(v), must.Sprint("fault ", f))
		})
	}
}

// TestBatch joins a repeat with new keys, and one new key twice: the failed
// condition must not refuse the others, and each key is held once.
func TestBatch(t *testing.T) {
	for _, keys := range [][]string{{"held", "a", "b", "c"}, {"twin", "twin", "a", "b"}} {
		synctest.Test(t, func(t *testing.T) {
			k := node("", newTable())
			begin(k, "held")
			var wg sync.WaitGroup
			said := make([]string, len(keys))
			for i, key := range keys {
				wg.Go(func() {
					_, v := begin(k, key)
					said[i] = told(v)
				})
			}
			wg.Wait()
			slices.Sort(said)
			must.Eq(t, []string{"proceed", "proceed", "proceed", inProgress}, said)
		})
	}
}

// TestSweep collects old records, leaves young ones and goes on after one
// that changed since it was listed.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		k := node("", tb)
		for i := range 40 {
			c, _ := begin(k, fmt.Sprint("old", i))
			c.Done(booked)
		}
		time.Sleep(claim.DefaultConfig().RetainFor)
		c, _ := begin(k, "young")
		c.Done(booked)
		time.Sleep(settled)
		tb.changed = claim.ItemKey("kovacsne", "old7")
		began := time.Now()
		swept, err := k.Sweep(context.Background(), "kovacsne")
		must.NoError(t, err)
		took := claims.DefaultConfig().SweepPause + 3*tb.latency // three transactions, one of them refused
		must.Eq(t, took, time.Since(began), must.Sprint("deletes are not spaced"))
		must.Eq(t, claims.Swept{Read: 41, Deleted: 39}, swept)
		_, v := begin(k, "young")
		must.Eq(t, "replay booked", told(v))
	})
}

// TestWritesPerBooking bounds what one booking costs the platform, for one
// node under several loads, and prints it.
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
