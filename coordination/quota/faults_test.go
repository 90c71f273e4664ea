package quota

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// A token is either used or returned, never both, even if requests take it while it expires.
func TestLeaseCreatesNoTokens(t *testing.T) {
	const takers, puts = 4, 100_000
	l := NewLease(rate)
	var used atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range takers {
		wg.Go(func() {
			for !stop.Load() {
				if l.Take(begin) {
					used.Add(1)
				}
			}
		})
	}
	given := 0.0
	for range puts {
		l.Put(begin, 1)
		given += l.Request(begin.Add(reserveLifetime), "o", 1).Return
	}
	stop.Store(true)
	wg.Wait()
	must.LessEq(t, puts, int64(given)+used.Load()+l.held.Load())
}

// A token that a node returns late may have been issued again, so it must not raise a full entry.
func TestReturnedTokensDoNotOverfillEntry(t *testing.T) {
	l := newOwner(begin)
	now := begin.Add(time.Minute)
	r := request(1000)
	r.Return = 40
	l.Shortfall(now, r)
	must.LessEq(t, int(cfg.ledgerSize(rate).burst), l.Acquire(now, r).Tokens)
}

// Delays stay within their bounds at rates so small that the time per token overflows a
// time.Duration.
func TestTinyRatesKeepRetryAfterWithinBounds(t *testing.T) {
	tiny := model.Rate{PerSecond: 1e-12, Burst: 1}
	l := NewLedger(cfg)
	g := l.Acquire(begin, Request{Organisation: "o", Rate: tiny, Need: 100, Slots: 1})
	must.Between(t, time.Millisecond, g.RetryAfter, slotHorizon)
	must.Between(t, time.Millisecond, g.Spacing, slotHorizon)
	lease := NewLease(tiny)
	lease.TakeEvenShare(begin, cfg, 64, 0)
	after, ok := lease.TakeEvenShare(begin, cfg, 64, 1)
	must.False(t, ok)
	must.Between(t, time.Millisecond, after, evenShareMaxRetryAfter)
}

// A standby that receives requests only rarely issues no more than its fraction of the rate.
func TestRarelyAskedStandbyStaysWithinItsRate(t *testing.T) {
	slow := model.Rate{PerSecond: 0.3, Burst: 1}
	l := NewLedger(cfg)
	tokens, now := 0, begin
	for ; now.Before(begin.Add(time.Minute)); now = now.Add(standbyIdleTime + 100*time.Millisecond) {
		tokens += l.Acquire(now, Request{Organisation: "o", Rate: slow, Need: 1}).Tokens
	}
	must.LessEq(t, cfg.initialTokens(slow)+reducedRateFraction*cfg.ledgerSize(slow).perSecond*now.Sub(begin).Seconds(), float64(tokens))
}

// A new ledger holds a token for the first request if the zone's initial tokens include one,
// however few members the node sees.
func TestNewLedgerOfSmallPartitionHoldsAToken(t *testing.T) {
	slow := model.Rate{PerSecond: 3, Burst: 3}
	l := NewLedger(cfg)
	l.SetOwned(begin, 0.25, map[string]model.Rate{"o": slow}, ownsAll)
	must.Eq(t, 1, l.Acquire(begin, Request{Organisation: "o", Rate: slow, Need: 5}).Tokens)
	small := Config{Zones: 3, Window: cfg.Window, Slack: 2}
	l = NewLedger(small)
	l.SetOwned(begin, 0.25, map[string]model.Rate{"o": slow}, ownsAll)
	must.Eq(t, 0, l.Acquire(begin, Request{Organisation: "o", Rate: slow, Need: 5}).Tokens)
}
