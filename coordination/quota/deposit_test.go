package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// pair is an owner and its standby, between which messages may be lost.
type pair struct {
	owner, standby *Ledger
	rate           model.Rate
	rng            *rand.Rand
	loss           float64
}

func newPair(seed uint64, rate model.Rate) *pair {
	p := &pair{owner: NewLedger(cfg), standby: NewLedger(cfg), rate: rate, rng: rand.New(rand.NewPCG(seed, 1))}
	p.owner.SetOwned(begin, 1, p.quotas(), ownsAll)
	return p
}

func (p *pair) quotas() map[string]model.Rate { return map[string]model.Rate{"o": p.rate} }

func (p *pair) delivered() bool { return p.rng.Float64() >= p.loss }

// deposit sends a deposit message if one is due.
func (p *pair) deposit(now time.Time) {
	tokens, due := p.owner.Deposit(now, "o", "standby")
	if !due || !p.delivered() {
		return
	}
	if held := p.standby.AcceptDeposit(now, "o", p.rate, tokens); p.delivered() {
		p.owner.ConfirmDeposit("o", "standby", held)
	}
}

// acquire requests one token from a ledger and returns the number granted.
func (p *pair) acquire(l *Ledger, now time.Time, ended bool) int {
	r := Request{Organisation: "o", Rate: p.rate, Need: 1, OwnerEnded: ended}
	l.Shortfall(now, r)
	return l.Acquire(now, r).Tokens
}

// fill advances the time until ledger and deposit are full, and returns the new time.
func (p *pair) fill() time.Time {
	now := begin
	for range 30 {
		now = now.Add(time.Second)
		p.deposit(now)
	}
	return now
}

var rates = []model.Rate{{PerSecond: 3, Burst: 3}, {PerSecond: 30, Burst: 60}, {PerSecond: 300, Burst: 300}}

// Without its owner's deposit, a standby would refuse requests that are within the quota.
func TestStandbyServesFromDepositAtOnce(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		now := p.fill()
		must.True(t, p.standby.TakeDeposited(now, "o", 1))
		must.Eq(t, 0, p.acquire(NewLedger(Config{Zones: 3, Window: cfg.Window}), now, false))
		rest := int(p.standby.depositSize(rate) - 1)
		for range rest {
			must.Eq(t, 1, p.acquire(p.standby, now, false))
		}
	}
}

// Whatever messages are lost, owner and standby together grant no more than one ledger with the
// deposit's tokens would.
func TestDepositCreatesNoTokens(t *testing.T) {
	for seed := range uint64(200) {
		for _, rate := range rates {
			p := newPair(seed, rate)
			p.loss = 0.3
			now, given := begin, 0.0
			limit := func() float64 {
				size := cfg.ledgerSize(rate)
				return size.burst + cfg.extraDeposit(rate) + size.perSecond*now.Sub(begin).Seconds()
			}
			for range 500 {
				now = now.Add(time.Duration(p.rng.ExpFloat64() * float64(100*time.Millisecond)))
				switch p.rng.IntN(4) {
				case 0:
					given += float64(p.acquire(p.owner, now, false))
				case 1:
					if p.standby.TakeDeposited(now, "o", 1) {
						given++
					}
				case 2:
					if returned := p.standby.LendDeposited(now, "o", 1); p.delivered() {
						p.owner.TakeBack(now, "o", rate, returned)
					}
				}
				p.deposit(now)
				must.LessEq(t, limit(), given)
			}
		}
	}
}

// While owner and standby both issue, the standby grants no more in a window than its deposit and
// duplicateLimit.
func TestStandbyIssuesWithinDuplicateLimit(t *testing.T) {
	for seed := range uint64(200) {
		for _, rate := range rates {
			p := newPair(seed, rate)
			start := p.fill()
			admitted := 0
			for now := start; now.Before(start.Add(cfg.Window)); {
				admitted += p.acquire(p.standby, now, false)
				now = now.Add(time.Duration(p.rng.ExpFloat64() / (2 * rate.PerSecond) * float64(time.Second)))
			}
			must.LessEq(t, p.standby.depositSize(rate)+cfg.duplicateLimit(rate), float64(admitted))
		}
	}
}

// Once the owner's process is known to have ended, the standby issues at the zone's full rate.
func TestStandbyIssuesFullRateAfterOwnerEnded(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		start := p.fill()
		admitted, now := 0, start
		for ; now.Before(start.Add(cfg.Window)); now = now.Add(time.Millisecond) {
			admitted += p.acquire(p.standby, now, true)
		}
		must.Greater(t, cfg.ledgerSize(rate).perSecond*cfg.Window.Seconds()-1, float64(admitted))
	}
}

// Alternating between owner and standby yields no extra tokens: each time, the standby starts to
// issue with the rest of the deposit only.
func TestStandbyGetsNoNewCreditWhenIssuingAgain(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		now, admitted := p.fill(), 0
		deposit := p.standby.depositSize(rate)
		for range 20 {
			p.standby.AcceptDeposit(now, "o", rate, 0)
			for range 2 * int(deposit+1) {
				admitted += p.acquire(p.standby, now, false)
			}
			now = now.Add(10 * time.Millisecond)
		}
		must.LessEq(t, deposit, float64(admitted))
	}
}

// The overall bound holds because the parts of the allowance add up to no more than the whole.
func TestPartsOfAllowanceStayWithinAllowance(t *testing.T) {
	for _, rate := range rates {
		zones := float64(cfg.zones())
		sum := cfg.fleetCapacity(rate) - float64(rate.Burst) + zones*(cfg.initialTokens(rate)+cfg.extraDeposit(rate)+cfg.duplicateLimit(rate)) + evenShareFraction*cfg.allowance(rate)
		must.LessEq(t, cfg.allowance(rate)+1e-9, sum)
	}
}

func TestDepositOfAFormerStandbyStaysCounted(t *testing.T) {
	p := newPair(1, rates[1])
	now := p.fill()
	full := cfg.ledgerSize(p.rate).burst
	now = now.Add(time.Second)
	p.owner.Deposit(now, "o", "other")
	later := now.Add(5 * time.Second)
	must.Less(t, full, float64(p.owner.Acquire(later, Request{Organisation: "o", Rate: p.rate, Need: 1000}).Tokens))
}

// A lowered quota also limits the deposit that a standby holds.
func TestLoweredQuotaLimitsDeposits(t *testing.T) {
	p := newPair(1, rates[2])
	now := p.fill()
	p.standby.SetOwned(now, 1, map[string]model.Rate{"o": rates[0]}, nil)
	must.LessEq(t, p.standby.depositSize(rates[0]), p.standby.LendDeposited(now, "o", 1000))
}

// A deposit expires at the standby before the owner issues its tokens again.
func TestDepositExpiresAtStandbyFirst(t *testing.T) {
	p := newPair(1, rates[1])
	now := p.fill().Add(depositLifetime)
	must.False(t, p.standby.TakeDeposited(now, "o", 1))
	must.Eq(t, "standby", p.owner.Depositary(now, "o"))
	must.Eq(t, "", p.owner.Depositary(now.Add(depositExpiryMargin), "o"))
}
