package quota

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// A token is used or given back, never both, also where requests take it while it ends.
func TestLeaseMakesNoTokens(t *testing.T) {
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
		given += l.Request(begin.Add(reserveTime), "o", 1).Return
	}
	stop.Store(true)
	wg.Wait()
	must.LessEq(t, puts, int64(given)+used.Load()+l.held.Load())
}

// What nodes give back late may have been issued again: it adds nothing to a full entry.
func TestReturnedTokensFillTheEntryOnly(t *testing.T) {
	l := owned(begin)
	now := begin.Add(time.Minute)
	r := ask(1000)
	r.Return = 40
	l.Preview(now, r)
	must.LessEq(t, int(cfg.part(rate).burst), l.Ask(now, r).Tokens)
}

// Times stay within their bounds at rates so small that a token takes longer than a
// time.Duration can say.
func TestTinyRatesPromiseNothingBeyondTheBound(t *testing.T) {
	tiny := model.Rate{PerSecond: 1e-12, Burst: 1}
	l := NewLedger(cfg)
	g := l.Ask(begin, Request{Organisation: "o", Rate: tiny, Need: 100, Slots: 1})
	must.Between(t, time.Millisecond, g.After, promiseMax)
	must.Between(t, time.Millisecond, g.Spacing, promiseMax)
	lease := NewLease(tiny)
	lease.TakeEvenShare(begin, cfg, 64, 0)
	after, ok := lease.TakeEvenShare(begin, cfg, 64, 1)
	must.False(t, ok)
	must.Between(t, time.Millisecond, after, evenShareAfterMax)
}

// A standby that is asked now and then issues no more than its part of the rate.
func TestStandbyBeginsOnce(t *testing.T) {
	slow := model.Rate{PerSecond: 0.3, Burst: 1}
	l := NewLedger(cfg)
	tokens, now := 0, begin
	for ; now.Before(begin.Add(time.Minute)); now = now.Add(standbyTime + 100*time.Millisecond) {
		tokens += l.Ask(now, Request{Organisation: "o", Rate: slow, Need: 1}).Tokens
	}
	must.LessEq(t, cfg.start(slow)+reducedPart*cfg.part(slow).perSecond*now.Sub(begin).Seconds(), float64(tokens))
}

// A new ledger holds the first request's token where its zone's start does, however few of the
// members its node sees.
func TestNewLedgerOfASmallSideHoldsAToken(t *testing.T) {
	slow := model.Rate{PerSecond: 3, Burst: 3}
	l := NewLedger(cfg)
	l.Own(begin, 0.25, map[string]model.Rate{"o": slow}, everything)
	must.Eq(t, 1, l.Ask(begin, Request{Organisation: "o", Rate: slow, Need: 5}).Tokens)
	small := Config{Zones: 3, Window: cfg.Window, Slack: 2}
	l = NewLedger(small)
	l.Own(begin, 0.25, map[string]model.Rate{"o": slow}, everything)
	must.Eq(t, 0, l.Ask(begin, Request{Organisation: "o", Rate: slow, Need: 5}).Tokens)
}
