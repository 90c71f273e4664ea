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
	// maxTurn is how long an upload's body is received exclusively. The largest bodies take
	// about this long on a link of 10 Mbit/s. The bound keeps a stalled sender from
	// blocking the other uploads.
	maxTurn = 300 * time.Millisecond
	// turnWaitDivisor limits the wait for a turn to a fraction (1/turnWaitDivisor) of the
	// time until the response is due. The rest is left for the body and the run.
	turnWaitDivisor = 2
	// maxTurnWait bounds that wait. An entry node sends the body without a 100 Continue
	// after a second.
	maxTurnWait = 800 * time.Millisecond
)

// turn is the exclusive permission to receive the body of an upload. Bodies are received
// one at a time, because all traffic to a host shares one link: several bodies at once
// would delay each small request behind them by more than its caller waits.
type turn struct {
	reservation *pace.Reservation
	end         func() // frees the turn; further calls do nothing
}

// awaitTurn waits until the body of an upload may be received. It returns nil if the bodies
// before it take too long: at once if the backlog already shows it, else when the wait is
// over.
func (g *Gate) awaitTurn(r *http.Request) *turn {
	now := g.cfg.Now()
	u, err := outcome.ParseUrgency(r.Header.Get(outcome.HeaderUrgency))
	if err != nil {
		return nil
	}
	wait := min(u.Left/turnWaitDivisor, maxTurnWait)
	reservation, _, ok := g.cfg.UploadShaper.Reserve(now, wait)
	if !ok {
		return nil
	}
	if r.ContentLength >= 0 {
		reservation.SetSize(float64(r.ContentLength))
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case g.receiving <- struct{}{}: // succeeds even if the wait is zero
	default:
		select {
		case g.receiving <- struct{}{}:
		case <-ctx.Done():
			reservation.Done()
			return nil
		}
	}
	t := &turn{reservation: reservation, end: sync.OnceFunc(func() { <-g.receiving })}
	time.AfterFunc(maxTurn, t.end)
	return t
}

// done ends the turn and returns the part of the reservation that was not received.
func (t *turn) done() {
	t.reservation.Done()
	t.end()
}

// follow counts the bytes of body as they are received, and ends the turn when the body
// ends.
func (t *turn) follow(body *forward.StreamBody, now func() time.Time) {
	body.OnRead(func(bytes int, ended bool) {
		t.reservation.Piece(now(), bytes)
		if ended {
			t.end()
		}
	})
}
