package quota

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// deposit sends a deposit of tokens to the standby if this node owns the organisation's ledger
// and a deposit is due. It doesn't wait for the response.
func (l *Limiter) deposit(organisation string) {
	owner, standby := l.members.Load().Owners(l.cfg.Zone, organisation)
	if owner.Node != l.cfg.Self || standby.Node == "" {
		return
	}
	tokens, due := l.ledger.Deposit(l.cfg.Now(), organisation, standby.Node)
	if !due {
		return
	}
	go func() {
		a := l.call(context.Background(), standby, &Message{Kind: KindDeposit, Organisation: organisation, Want: tokens})
		if a != nil && a.Owned {
			l.ledger.ConfirmDeposit(organisation, standby.Node, a.Tokens)
		}
	}()
}

// reclaimDeposit requests the tokens that the owner has deposited at the standby, adds those that
// are returned to the ledger and returns their number.
func (l *Limiter) reclaimDeposit(ctx context.Context, organisation string, rate model.Rate, want float64) float64 {
	now := l.cfg.Now()
	depositary := l.ledger.Depositary(now, organisation)
	_, standby := l.members.Load().Owners(l.cfg.Zone, organisation)
	if depositary == "" || depositary != standby.Node || l.suspects.skipped(depositary, now) {
		return 0
	}
	a := l.call(ctx, standby, &Message{Kind: KindBorrow, Organisation: organisation, Want: want + 1})
	if a == nil || !a.Owned {
		return 0
	}
	l.ledger.TakeBack(l.cfg.Now(), organisation, rate, a.Tokens)
	return a.Tokens
}

// acquireFromOtherZones requests tokens from all other zones concurrently, for a node that reaches
// neither owner nor standby in its own zone. The grant is the sum of their tokens with the earliest
// retry slot among their responses. responded is false if no zone granted a token or a retry slot.
func (l *Limiter) acquireFromOtherZones(ctx context.Context, r quota.Request) (g quota.Grant, responded bool) {
	members := l.members.Load()
	if members == nil || ctx.Err() != nil {
		return g, false
	}
	r.Reserve = 0
	responses := make(chan *Response)
	calls := 0
	for zone := range members.Zones {
		if zone == l.cfg.Zone {
			continue
		}
		calls++
		go func() { responses <- l.callZone(ctx, zone, r.Organisation, newRequestMessage(KindAcquire, r)) }()
	}
	sum := &Response{}
	for range calls {
		a := <-responses
		if a == nil {
			continue
		}
		sum.Tokens += a.Tokens
		if a.RetryAfterMillis > 0 && (sum.RetryAfterMillis == 0 || a.RetryAfterMillis < sum.RetryAfterMillis) {
			sum.RetryAfterMillis, sum.SpacingMillis = a.RetryAfterMillis, a.SpacingMillis
		}
	}
	g = sum.grant(quota.Request{Need: calls * r.Need})
	if responded = g.Tokens > 0 || g.RetryAfter > 0; g.RetryAfter == 0 {
		g.RetryAfter, g.Spacing = loanPause, loanPause
	}
	return g, responded
}

// callZone sends a message to another zone's owner. If the owner doesn't respond, callZone requests
// the deposited tokens from the standby. It returns nil if neither responds.
func (l *Limiter) callZone(ctx context.Context, zone model.Zone, organisation string, m *Message) *Response {
	owner, standby := l.members.Load().Owners(zone, organisation)
	if owner.Node != "" && !l.suspects.skipped(owner.Node, l.cfg.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, nestedCallTimeout)
		a := l.call(callCtx, owner, m)
		cancel()
		if a != nil && a.Owned {
			return a
		}
	}
	if standby.Node == "" || l.suspects.skipped(standby.Node, l.cfg.Now()) {
		return nil
	}
	a := l.call(ctx, standby, &Message{Kind: KindBorrow, Organisation: organisation, Want: m.Want + float64(m.Need)})
	if a == nil || !a.Owned {
		return nil
	}
	return a
}
