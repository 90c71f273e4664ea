package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// pair is an owner and its standby, with messages that may be lost.
type pair struct {
	owner, standby *Ledger
	rate           model.Rate
	rng            *rand.Rand
	loss           float64
}

func newPair(seed uint64, rate model.Rate) *pair {
	p := &pair{owner: NewLedger(cfg), standby: NewLedger(cfg), rate: rate, rng: rand.New(rand.NewPCG(seed, 1))}
	p.owner.Own(begin, 1, p.quotas(), everything)
	return p
}

func (p *pair) quotas() map[string]model.Rate { return map[string]model.Rate{"o": p.rate} }

func (p *pair) arrives() bool { return p.rng.Float64() >= p.loss }

// deposit renews the deposit where that is due.
func (p *pair) deposit(now time.Time) {
	tokens, due := p.owner.Deposit(now, "o", "standby")
	if !due || !p.arrives() {
		return
	}
	if held := p.standby.Keep(now, "o", p.rate, tokens); p.arrives() {
		p.owner.Deposited("o", "standby", held)
	}
}

// ask asks a ledger for one token.
func (p *pair) ask(l *Ledger, now time.Time, ended bool) int {
	r := Request{Organisation: "o", Rate: p.rate, Need: 1, Ended: ended}
	l.Preview(now, r)
	return l.Ask(now, r).Tokens
}

// fill lets ledger and deposit become full.
func (p *pair) fill() time.Time {
	now := begin
	for range 30 {
		now = now.Add(time.Second)
		p.deposit(now)
	}
	return now
}

var rates = []model.Rate{{PerSecond: 3, Burst: 3}, {PerSecond: 30, Burst: 60}, {PerSecond: 300, Burst: 300}}

// Requests below a quota are refused where a standby begins without its owner's tokens.
func TestStandbyServesFromTheOwnersDepositAtOnce(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		now := p.fill()
		must.True(t, p.standby.TakeKept(now, "o", 1))
		must.Eq(t, 0, p.ask(NewLedger(Config{Zones: 3, Window: cfg.Window}), now, false))
		rest := int(p.standby.deposit(rate) - 1)
		for range rest {
			must.Eq(t, 1, p.ask(p.standby, now, false))
		}
	}
}

// Owner and standby together let in no more than one that has the deposit, whatever is lost.
func TestDepositMakesNoTokens(t *testing.T) {
	for seed := range uint64(200) {
		for _, rate := range rates {
			p := newPair(seed, rate)
			p.loss = 0.3
			now, given := begin, 0.0
			most := func() float64 {
				of := cfg.part(rate)
				return of.burst + cfg.deposit(rate) + of.perSecond*now.Sub(begin).Seconds()
			}
			for range 500 {
				now = now.Add(time.Duration(p.rng.ExpFloat64() * float64(100*time.Millisecond)))
				switch p.rng.IntN(4) {
				case 0:
					given += float64(p.ask(p.owner, now, false))
				case 1:
					if p.standby.TakeKept(now, "o", 1) {
						given++
					}
				case 2:
					if back := p.standby.LendKept(now, "o", 1); p.arrives() {
						p.owner.TakeBack(now, "o", rate, back)
					}
				}
				p.deposit(now)
				must.LessEq(t, most(), given)
			}
		}
	}
}

// While owner and standby both issue, what the standby adds in a window stays within its part of
// the allowance, and what it knows to be its own is issued whole.
func TestStandbyIssuesWithinWhatTheBoundLeaves(t *testing.T) {
	for seed := range uint64(200) {
		for _, rate := range rates {
			p := newPair(seed, rate)
			start := p.fill()
			admitted := 0
			for now := start; now.Before(start.Add(cfg.Window)); {
				admitted += p.ask(p.standby, now, false)
				now = now.Add(time.Duration(p.rng.ExpFloat64() / (2 * rate.PerSecond) * float64(time.Second)))
			}
			must.LessEq(t, p.standby.deposit(rate)+cfg.doubled(rate), float64(admitted))
		}
	}
}

func TestStandbyIssuesAllOfAnOwnerThatHasEnded(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		start := p.fill()
		admitted, now := 0, start
		for ; now.Before(start.Add(cfg.Window)); now = now.Add(time.Millisecond) {
			admitted += p.ask(p.standby, now, true)
		}
		must.Greater(t, cfg.part(rate).perSecond*cfg.Window.Seconds()-1, float64(admitted))
	}
}

// An owner and a standby that take turns gain nothing by it: a standby begins with the deposit only.
func TestStandbyThatBeginsAgainGetsNoNewCredit(t *testing.T) {
	for _, rate := range rates {
		p := newPair(1, rate)
		now, admitted := p.fill(), 0
		deposit := p.standby.deposit(rate)
		for range 20 {
			p.standby.Keep(now, "o", rate, 0)
			for range 2 * int(deposit+1) {
				admitted += p.ask(p.standby, now, false)
			}
			now = now.Add(10 * time.Millisecond)
		}
		must.LessEq(t, deposit, float64(admitted))
	}
}

// What bounds the sum: the parts of what may be let in beyond a quota are one whole at most.
func TestPartsOfTheAllowanceAreOneWhole(t *testing.T) {
	for _, rate := range rates {
		zones := float64(cfg.zones())
		parts := cfg.hold(rate) - float64(rate.Burst) + zones*(cfg.start(rate)+cfg.deposit(rate)+cfg.doubled(rate)) + evenSharePart*cfg.allowance(rate)
		must.LessEq(t, cfg.allowance(rate)+1e-9, parts)
	}
}

func TestDepositOfAFormerStandbyStaysCounted(t *testing.T) {
	p := newPair(1, rates[1])
	now := p.fill()
	full := cfg.part(p.rate).burst
	now = now.Add(time.Second)
	p.owner.Deposit(now, "o", "other")
	later := now.Add(5 * time.Second)
	must.Less(t, full, float64(p.owner.Ask(later, Request{Organisation: "o", Rate: p.rate, Need: 1000}).Tokens))
}

// A quota that is lowered binds what a standby holds as well.
func TestLoweredQuotaBindsDeposits(t *testing.T) {
	p := newPair(1, rates[2])
	now := p.fill()
	p.standby.Own(now, 1, map[string]model.Rate{"o": rates[0]}, nil)
	must.LessEq(t, p.standby.deposit(rates[0]), p.standby.LendKept(now, "o", 1000))
}

// A deposit ends at its standby before its owner issues it anew.
func TestDepositEndsAtTheStandbyFirst(t *testing.T) {
	p := newPair(1, rates[1])
	now := p.fill().Add(depositTime)
	must.False(t, p.standby.TakeKept(now, "o", 1))
	must.Eq(t, "standby", p.owner.Depositary(now, "o"))
	must.Eq(t, "", p.owner.Depositary(now.Add(depositMargin), "o"))
}
