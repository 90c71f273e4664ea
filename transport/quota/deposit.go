package quota

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// deposit leaves tokens with the standby where that is due.
func (l *Limiter) deposit(organisation string) {
	first, second := l.members.Load().Owners(l.cfg.Zone, organisation)
	if first.Node != l.cfg.Self || second.Node == "" {
		return
	}
	tokens, due := l.ledger.Deposit(l.cfg.Now(), organisation, second.Node)
	if !due {
		return
	}
	go func() {
		a := l.call(context.Background(), second, &Message{Kind: KindDeposit, Organisation: organisation, Want: tokens})
		if a != nil && a.Owned {
			l.ledger.ConfirmDeposit(organisation, second.Node, a.Tokens)
		}
	}()
}

// takeBack asks the standby for what it holds of the owner's tokens and enters what it gives.
func (l *Limiter) takeBack(ctx context.Context, organisation string, rate model.Rate, want float64) float64 {
	now := l.cfg.Now()
	holder := l.ledger.Depositary(now, organisation)
	_, second := l.members.Load().Owners(l.cfg.Zone, organisation)
	if holder == "" || holder != second.Node || l.suspects.skipped(holder, now) {
		return 0
	}
	a := l.call(ctx, second, &Message{Kind: KindBorrow, Organisation: organisation, Want: want + 1})
	if a == nil || !a.Owned {
		return 0
	}
	l.ledger.TakeBack(l.cfg.Now(), organisation, rate, a.Tokens)
	return a.Tokens
}

// askElsewhere asks the other zones at the same time, for a node that reaches nobody in its own.
// Their answers together are the grant.
func (l *Limiter) askElsewhere(ctx context.Context, r quota.Request) (g quota.Grant, answered bool) {
	members := l.members.Load()
	if members == nil || ctx.Err() != nil {
		return g, false
	}
	r.Reserve = 0
	answers := make(chan *Answer)
	asked := 0
	for zone := range members.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		asked++
		go func() { answers <- l.askZone(ctx, zone, r.Organisation, askMessage(KindAcquire, r)) }()
	}
	sum := &Answer{}
	for range asked {
		a := <-answers
		if a == nil {
			continue
		}
		sum.Tokens += a.Tokens
		if a.AfterMillis > 0 && (sum.AfterMillis == 0 || a.AfterMillis < sum.AfterMillis) {
			sum.AfterMillis, sum.SpacingMillis = a.AfterMillis, a.SpacingMillis
		}
	}
	g = sum.grant(quota.Request{Need: asked * r.Need})
	if answered = g.Tokens > 0 || g.RetryAfter > 0; g.RetryAfter == 0 {
		g.RetryAfter, g.Spacing = loanPause, loanPause
	}
	return g, answered
}

// askZone asks another zone's owner, then its standby for what it holds; nil where neither answers.
func (l *Limiter) askZone(ctx context.Context, zone model.Zone, organisation string, m *Message) *Answer {
	first, second := l.members.Load().Owners(zone, organisation)
	if first.Node != "" && !l.suspects.skipped(first.Node, l.cfg.Now()) {
		bounded, cancel := context.WithTimeout(ctx, onwardTimeout)
		a := l.call(bounded, first, m)
		cancel()
		if a != nil && a.Owned {
			return a
		}
	}
	if second.Node == "" || l.suspects.skipped(second.Node, l.cfg.Now()) {
		return nil
	}
	a := l.call(ctx, second, &Message{Kind: KindBorrow, Organisation: organisation, Want: m.Want + float64(m.Need)})
	if a == nil || !a.Owned {
		return nil
	}
	return a
}
