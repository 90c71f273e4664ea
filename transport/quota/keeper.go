package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// ask asks the keeper of the organisation's book, then the one that stands in for it, then the
// keeper once more. It returns false where none answers.
func (d *Desk) ask(ctx context.Context, r quota.Request) (quota.Grant, bool) {
	first, second := d.members.Load().Keepers(d.cfg.Zone, r.Organisation)
	for _, to := range []quota.Member{first, second, first} {
		var a *Answer
		switch {
		case to.Node == "":
			continue
		case to.Node == d.cfg.Self && to == first:
			a = d.serve(ctx, r)
		case to.Node == d.cfg.Self:
			a = d.relay(ctx, r, first, second)
		case d.suspects.is(to.Node, d.cfg.Now()):
			continue
		default:
			a = d.call(ctx, to, askMessage(KindAsk, r))
		}
		if a != nil && a.Kept {
			return a.grant(), true
		}
	}
	return quota.Grant{}, false
}

func askMessage(kind Kind, r quota.Request) *Message {
	return &Message{
		Kind: kind, Organisation: r.Organisation, Need: r.Need, Reserve: r.Reserve, Refused: r.Refused, Slots: r.Slots, Return: r.Return,
	}
}

func (a *Answer) grant() quota.Grant {
	return quota.Grant{
		Tokens: int(a.Tokens), After: time.Duration(a.AfterMillis) * time.Millisecond,
		Spacing: time.Duration(a.SpacingMillis) * time.Millisecond,
	}
}

// call sends a message; nil where no answer came.
func (d *Desk) call(ctx context.Context, to quota.Member, m *Message) *Answer {
	d.counts.asks.Inc()
	timeout := onwardTimeout
	if m.Kind == KindAsk {
		timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := d.cfg.Caller.Call(ctx, to, m)
	if err != nil {
		d.unreachable(to, err)
		return nil
	}
	d.suspects.clear(to.Node)
	return a
}

// Answer answers another node's message.
func (d *Desk) Answer(ctx context.Context, m *Message) *Answer {
	rate, limited := (*d.quotas.Load())[m.Organisation]
	if !limited {
		return &Answer{}
	}
	r := quota.Request{
		Organisation: m.Organisation, Rate: rate, Need: m.Need, Reserve: m.Reserve, Refused: m.Refused, Slots: m.Slots, Return: m.Return,
	}
	now := d.cfg.Now()
	members := d.members.Load()
	first, second := members.Keepers(d.cfg.Zone, m.Organisation)
	mine := first.Node == d.cfg.Self && members.Minting(now)
	switch m.Kind {
	case KindAsk:
		if mine {
			return d.serve(ctx, r)
		}
		return d.relay(ctx, r, first, second)
	case KindRelay:
		if mine || second.Node == d.cfg.Self {
			return d.serve(ctx, r)
		}
	case KindLend:
		if mine {
			lent := d.book.Lend(now, r.Organisation, rate, m.Want)
			d.counts.lent.Add(int(lent))
			return &Answer{Kept: true, Tokens: lent}
		}
	case KindGive:
		if mine {
			d.book.Receive(now, r.Organisation, rate, m.Want)
			return &Answer{Kept: true}
		}
	}
	return &Answer{}
}

// relay hands a question on to the keeper, or stands in for a keeper that is gone.
func (d *Desk) relay(ctx context.Context, r quota.Request, first, second quota.Member) *Answer {
	if first.Node == "" || first.Node == d.cfg.Self {
		return &Answer{}
	}
	if !d.suspects.gone(first.Node, d.cfg.Now()) {
		if a := d.call(ctx, first, askMessage(KindRelay, r)); a != nil {
			return a
		}
	}
	if second.Node == d.cfg.Self && d.suspects.gone(first.Node, d.cfg.Now()) {
		return d.serve(ctx, r)
	}
	return &Answer{}
}

// serve gives tokens out of the own book, and asks other zones first where it is short.
func (d *Desk) serve(ctx context.Context, r quota.Request) *Answer {
	now := d.cfg.Now()
	if !d.members.Load().Minting(now) {
		return &Answer{}
	}
	if rate, limited := (*d.quotas.Load())[r.Organisation]; limited {
		r.Rate = rate
	}
	if lack := d.book.Preview(now, r); lack > 0 {
		d.borrow(ctx, r.Organisation, r.Rate, lack)
	}
	g := d.book.Ask(d.cfg.Now(), r)
	return &Answer{
		Kept: true, Tokens: float64(g.Tokens), AfterMillis: millis(g.After), SpacingMillis: millis(g.Spacing),
	}
}

// millis rounds up, so that nobody comes back before there is a token.
func millis(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// loanPause is for how long other zones aren't asked again that had nothing to lend.
const loanPause = 100 * time.Millisecond

// line is the borrowing for one organisation: one call is under way at a time.
type line struct {
	mu    sync.Mutex
	done  chan struct{} // of the call under way; nil without one
	pause time.Time
}

// borrow asks the keepers of the other zones for tokens and waits for them, or for those
// that another request has asked for.
func (d *Desk) borrow(ctx context.Context, organisation string, rate model.Rate, lack float64) {
	v, ok := d.lines.Load(organisation)
	if !ok {
		v, _ = d.lines.LoadOrStore(organisation, new(line))
	}
	l := v.(*line)
	l.mu.Lock()
	if d.cfg.Now().Before(l.pause) {
		l.mu.Unlock()
		return
	}
	if done := l.done; done != nil {
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	l.done = done
	l.mu.Unlock()
	got := d.askZones(ctx, organisation, rate, lack+d.book.Use(d.cfg.Now(), organisation)*loanAhead.Seconds())
	l.mu.Lock()
	l.done = nil
	if got < lack {
		l.pause = d.cfg.Now().Add(loanPause)
	}
	l.mu.Unlock()
	close(done)
}

// loanAhead is for how much of its zone's use a keeper borrows more than it lacks.
const loanAhead = 40 * time.Millisecond

// askZones asks all other zones at the same time and enters what they give. It returns how
// much that was.
func (d *Desk) askZones(ctx context.Context, organisation string, rate model.Rate, want float64) float64 {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), onwardTimeout)
	defer cancel()
	members := d.members.Load()
	answers := make(chan *Answer)
	asked := 0
	for zone := range members.Zones {
		first, _ := members.Keepers(zone, organisation)
		if zone == d.cfg.Zone || d.suspects.is(first.Node, d.cfg.Now()) {
			continue
		}
		asked++
		go func() {
			answers <- d.call(ctx, first, &Message{Kind: KindLend, Organisation: organisation, Want: want})
		}()
	}
	got := 0.0
	for range asked {
		if a := <-answers; a != nil && a.Kept {
			got += a.Tokens
			d.book.Receive(d.cfg.Now(), organisation, rate, a.Tokens)
		}
	}
	d.counts.borrowed.Add(int(got))
	return got
}
