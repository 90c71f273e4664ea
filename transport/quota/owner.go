package quota

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// ask asks the owner of the organisation's ledger, then the standby, then those of the other
// zones. It returns false where none answers.
func (l *Limiter) ask(ctx context.Context, r quota.Request) (quota.Grant, bool) {
	if len(r.Organisation) > maxName {
		return quota.Grant{}, false
	}
	first, second := l.members.Load().Owners(l.cfg.Zone, r.Organisation)
	for _, to := range []quota.Member{first, second} {
		var a *Answer
		switch {
		case to.Node == "":
			continue
		case to.Node == l.cfg.Self && to == first:
			a = l.serve(ctx, r)
		case to.Node == l.cfg.Self:
			a = l.relay(ctx, r, first, second)
		case l.suspects.skipped(to.Node, l.cfg.Now()):
			continue
		default:
			a = l.call(ctx, to, askMessage(KindAcquire, r))
		}
		if a != nil && a.Owned {
			return a.grant(r), true
		}
		r.Return = 0 // it may have been taken
	}
	return l.askElsewhere(ctx, r)
}

func askMessage(kind Kind, r quota.Request) *Message {
	return &Message{
		Kind: kind, Organisation: r.Organisation, Need: r.Need, Reserve: r.Reserve, Refused: r.Refused, Slots: r.Slots, Return: r.Return,
	}
}

// request returns what a message asks for.
func (m *Message) request(rate model.Rate) quota.Request {
	return quota.Request{
		Organisation: m.Organisation, Rate: rate, Need: m.Need, Reserve: m.Reserve, Refused: m.Refused, Slots: m.Slots, Return: m.Return,
	}
}

// grant returns what an answer gives, no more than was asked for.
func (a *Answer) grant(r quota.Request) quota.Grant {
	return quota.Grant{
		Tokens:     min(int(a.Tokens), r.Need+r.Reserve),
		RetryAfter: time.Duration(a.AfterMillis) * time.Millisecond,
		Spacing:    time.Duration(a.SpacingMillis) * time.Millisecond,
	}
}

// call sends a message; nil where no answer came.
func (l *Limiter) call(ctx context.Context, to quota.Member, m *Message) *Answer {
	l.counts.asks.Inc()
	timeout := onwardTimeout
	if m.Kind == KindAcquire {
		timeout = callTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := l.cfg.Caller.Call(bounded, to, m)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return nil // the asker has gone, which says nothing about the node that was called
	case err != nil:
		l.unreachable(to, err)
		return nil
	}
	l.suspects.clear(to.Node)
	return a
}

// Answer answers another node's message.
func (l *Limiter) Answer(ctx context.Context, m *Message) *Answer {
	rate, limited := (*l.quotas.Load())[m.Organisation]
	if !limited {
		return &Answer{}
	}
	r := m.request(rate)
	now := l.cfg.Now()
	members := l.members.Load()
	first, second := members.Owners(l.cfg.Zone, m.Organisation)
	mine := first.Node == l.cfg.Self && members.MayOwn(now)
	switch m.Kind {
	case KindAcquire:
		if mine {
			return l.serve(ctx, r)
		}
		return l.relay(ctx, r, first, second)
	case KindForward:
		if mine || second.Node == l.cfg.Self {
			return l.serve(ctx, r)
		}
	case KindBorrow:
		if mine {
			lent := l.ledger.Lend(now, r.Organisation, rate, m.Want)
			l.counts.lent.Add(int(lent))
			return &Answer{Owned: true, Tokens: lent}
		}
		if second.Node == l.cfg.Self {
			return &Answer{Owned: true, Tokens: l.ledger.LendDeposited(now, r.Organisation, m.Want)}
		}
	case KindTransfer:
		if mine {
			l.ledger.Receive(now, r.Organisation, rate, m.Want)
			return &Answer{Owned: true}
		}
	case KindDeposit:
		if second.Node == l.cfg.Self {
			return &Answer{Owned: true, Tokens: l.ledger.AcceptDeposit(now, r.Organisation, rate, m.Want)}
		}
	}
	return &Answer{}
}

// relay forwards a request for tokens to the owner, or serves it as the standby of an owner that
// is gone.
func (l *Limiter) relay(ctx context.Context, r quota.Request, first, second quota.Member) *Answer {
	if first.Node == "" || first.Node == l.cfg.Self {
		return &Answer{}
	}
	for range callsUntilGone {
		if l.suspects.gone(first.Node, l.cfg.Now()) {
			break
		}
		if a := l.call(ctx, first, askMessage(KindForward, r)); a != nil {
			return a
		}
		if second.Node != l.cfg.Self || ctx.Err() != nil {
			return &Answer{}
		}
		if l.ledger.TakeDeposited(l.cfg.Now(), r.Organisation, r.Need) {
			return &Answer{Owned: true, Tokens: float64(r.Need)}
		}
	}
	if second.Node == l.cfg.Self && l.suspects.gone(first.Node, l.cfg.Now()) {
		r.OwnerEnded = l.suspects.ended(first.Node, l.cfg.Now())
		return l.serve(ctx, r)
	}
	return &Answer{}
}

// serve gives tokens out of the own ledger, and asks other zones first where it is short.
func (l *Limiter) serve(ctx context.Context, r quota.Request) *Answer {
	now := l.cfg.Now()
	if !l.members.Load().MayOwn(now) {
		return &Answer{}
	}
	if rate, limited := (*l.quotas.Load())[r.Organisation]; limited {
		r.Rate = rate
	}
	if lack := l.ledger.Shortfall(now, r); lack > 0 {
		l.borrow(ctx, r.Organisation, r.Rate, lack)
	}
	g := l.ledger.Acquire(l.cfg.Now(), r)
	l.deposit(r.Organisation)
	return &Answer{
		Owned: true, Tokens: float64(g.Tokens), AfterMillis: millis(g.RetryAfter), SpacingMillis: millis(g.Spacing),
	}
}

// millis rounds up, so that nobody comes back before there is a token.
func millis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
