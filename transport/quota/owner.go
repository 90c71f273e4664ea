package quota

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// acquire requests tokens from the owner of the organisation's ledger, then from the standby, then
// from the other zones. It returns false if none of them responds.
func (l *Limiter) acquire(ctx context.Context, r quota.Request) (quota.Grant, bool) {
	if len(r.Organisation) > maxNameBytes {
		return quota.Grant{}, false
	}
	owner, standby := l.members.Load().Owners(l.cfg.Zone, r.Organisation)
	for _, to := range []quota.Member{owner, standby} {
		var a *Response
		switch {
		case to.Node == "":
			continue
		case to.Node == l.cfg.Self && to == owner:
			a = l.serve(ctx, r)
		case to.Node == l.cfg.Self:
			a = l.relay(ctx, r, owner, standby)
		case l.suspects.skipped(to.Node, l.cfg.Now()):
			continue
		default:
			a = l.call(ctx, to, newRequestMessage(KindAcquire, r))
		}
		if a != nil && a.Owned {
			return a.grant(r), true
		}
		r.Return = 0 // the failed call may have delivered the returned tokens
	}
	return l.acquireFromOtherZones(ctx, r)
}

// newRequestMessage returns the message of the given kind for a request.
func newRequestMessage(kind Kind, r quota.Request) *Message {
	return &Message{
		Kind: kind, Organisation: r.Organisation, Need: r.Need, Reserve: r.Reserve, Refused: r.Refused, Slots: r.Slots, Return: r.Return,
	}
}

// request returns the request for tokens that a message contains.
func (m *Message) request(rate model.Rate) quota.Request {
	return quota.Request{
		Organisation: m.Organisation, Rate: rate, Need: m.Need, Reserve: m.Reserve, Refused: m.Refused, Slots: m.Slots, Return: m.Return,
	}
}

// grant returns the grant that a response contains, capped at the requested number of tokens.
func (a *Response) grant(r quota.Request) quota.Grant {
	return quota.Grant{
		Tokens:     min(int(a.Tokens), r.Need+r.Reserve),
		RetryAfter: time.Duration(a.RetryAfterMillis) * time.Millisecond,
		Spacing:    time.Duration(a.SpacingMillis) * time.Millisecond,
	}
}

// call sends a message to another node and returns the response, or nil if there is none. It records
// whether the node responded.
func (l *Limiter) call(ctx context.Context, to quota.Member, m *Message) *Response {
	l.counters.messages.Inc()
	timeout := nestedCallTimeout
	if m.Kind == KindAcquire {
		timeout = callTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := l.cfg.Caller.Call(callCtx, to, m)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return nil // the caller has cancelled, which is no evidence about the called node
	case err != nil:
		l.recordUnreachable(to, err)
		return nil
	}
	l.suspects.clear(to.Node)
	return a
}

// HandleMessage handles a message from another node and returns the response. It returns an empty
// response if this node isn't responsible for the ledger or the organisation has no quota.
func (l *Limiter) HandleMessage(ctx context.Context, m *Message) *Response {
	rate, limited := (*l.quotas.Load())[m.Organisation]
	if !limited {
		return &Response{}
	}
	r := m.request(rate)
	now := l.cfg.Now()
	members := l.members.Load()
	owner, standby := members.Owners(l.cfg.Zone, m.Organisation)
	isOwner := owner.Node == l.cfg.Self && members.MayOwn(now)
	switch m.Kind {
	case KindAcquire:
		if isOwner {
			return l.serve(ctx, r)
		}
		return l.relay(ctx, r, owner, standby)
	case KindForward:
		if isOwner || standby.Node == l.cfg.Self {
			return l.serve(ctx, r)
		}
	case KindBorrow:
		if isOwner {
			lent := l.ledger.Lend(now, r.Organisation, rate, m.Want)
			l.counters.lent.Add(int(lent))
			return &Response{Owned: true, Tokens: lent}
		}
		if standby.Node == l.cfg.Self {
			return &Response{Owned: true, Tokens: l.ledger.LendDeposited(now, r.Organisation, m.Want)}
		}
	case KindTransfer:
		if isOwner {
			l.ledger.Receive(now, r.Organisation, rate, m.Want)
			return &Response{Owned: true}
		}
	case KindDeposit:
		if standby.Node == l.cfg.Self {
			return &Response{Owned: true, Tokens: l.ledger.AcceptDeposit(now, r.Organisation, rate, m.Want)}
		}
	}
	return &Response{}
}

// relay forwards a request for tokens to the owner. If the owner doesn't respond and this node is
// the standby, it serves the request from the deposit, or itself once it considers the owner gone.
func (l *Limiter) relay(ctx context.Context, r quota.Request, owner, standby quota.Member) *Response {
	if owner.Node == "" || owner.Node == l.cfg.Self {
		return &Response{}
	}
	for range callsUntilGone {
		if l.suspects.gone(owner.Node, l.cfg.Now()) {
			break
		}
		if a := l.call(ctx, owner, newRequestMessage(KindForward, r)); a != nil {
			return a
		}
		if standby.Node != l.cfg.Self || ctx.Err() != nil {
			return &Response{}
		}
		if l.ledger.TakeDeposited(l.cfg.Now(), r.Organisation, r.Need) {
			return &Response{Owned: true, Tokens: float64(r.Need)}
		}
	}
	if standby.Node == l.cfg.Self && l.suspects.gone(owner.Node, l.cfg.Now()) {
		r.OwnerEnded = l.suspects.ended(owner.Node, l.cfg.Now())
		return l.serve(ctx, r)
	}
	return &Response{}
}

// serve grants tokens from this node's ledger. If the ledger has too few, it borrows from other
// zones first.
func (l *Limiter) serve(ctx context.Context, r quota.Request) *Response {
	now := l.cfg.Now()
	if !l.members.Load().MayOwn(now) {
		return &Response{}
	}
	if rate, limited := (*l.quotas.Load())[r.Organisation]; limited {
		r.Rate = rate
	}
	if shortfall := l.ledger.Shortfall(now, r); shortfall > 0 {
		l.borrow(ctx, r.Organisation, r.Rate, shortfall)
	}
	g := l.ledger.Acquire(l.cfg.Now(), r)
	l.deposit(r.Organisation)
	return &Response{
		Owned: true, Tokens: float64(g.Tokens), RetryAfterMillis: millis(g.RetryAfter), SpacingMillis: millis(g.Spacing),
	}
}

// millis converts a duration to milliseconds. It rounds up, so that no caller retries before its
// token is issued.
func millis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
