package inbound

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// longestTurn is how long an upload's body is received alone: about what the largest take on a
	// link of 10 Mbit/s. A sender that has stopped holds the others up no longer.
	longestTurn = 300 * time.Millisecond
	// turnPart is the part of the time until its answer is due that an upload may wait for its
	// turn: the rest is for its body and the work.
	turnPart = 2
	// longestWait bounds that wait: an entry node sends the body unasked after a second.
	longestWait = 800 * time.Millisecond
)

// turn is an upload's turn to be received. Bodies are received one after the other: all that is on its
// way to a host waits on the same link, and several at a time delay every small request behind them
// by more than their callers wait.
type turn struct {
	ticket *pace.Reservation
	end    func() // once
}

// awaitTurn waits until an upload's body may be received. It returns nil where the bodies before it
// take too long: at once where that is known, or when its time to wait is over.
func (g *Gate) awaitTurn(r *http.Request) *turn {
	now := g.cfg.Now()
	u, err := outcome.ParseUrgency(r.Header.Get(outcome.HeaderUrgency))
	if err != nil {
		return nil
	}
	wait := min(u.Left/turnPart, longestWait)
	ticket, _, ok := g.cfg.Uploads.Reserve(now, wait)
	if !ok {
		return nil
	}
	if r.ContentLength >= 0 {
		ticket.SetSize(float64(r.ContentLength))
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case g.receiving <- struct{}{}: // also where there is no time to wait
	default:
		select {
		case g.receiving <- struct{}{}:
		case <-ctx.Done():
			ticket.Done()
			return nil
		}
	}
	t := &turn{ticket: ticket, end: sync.OnceFunc(func() { <-g.receiving })}
	time.AfterFunc(longestTurn, t.end)
	return t
}

// done ends the turn, and gives back what was not received.
func (t *turn) done() {
	t.ticket.Done()
	t.end()
}

// follow ends the turn with the body.
func (t *turn) follow(body *forward.StreamBody, now func() time.Time) {
	body.OnRead(func(bytes int, ended bool) {
		t.ticket.Piece(now(), bytes)
		if ended {
			t.end()
		}
	})
}
