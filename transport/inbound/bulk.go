package inbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// maxHeld bounds a large answer that is taken whole from the backend
	// server, in bytes: its slot is then free while the answer is being sent.
	maxHeld = 2 << 20
	// maxHeldAll bounds all answers so held, in bytes: a tenth of the memory of
	// the users' smallest hosts.
	maxHeldAll = 11 << 20
	// maxSending is the number of large answers that are sent side by side: more
	// than one, so that a receiver that has stopped holds up no other.
	maxSending = 2
)

// serveBulk serves a request for a large answer of another node.
func (g *Gate) serveBulk(w http.ResponseWriter, req *http.Request) error {
	u, err := outcome.ParseUrgency(req.Header.Get(outcome.HeaderUrgency))
	if err != nil {
		return forward.Relay(w, g.refuse(req, outcome.ReasonMalformed, false))
	}
	ticket, ok := g.cfg.Lane.Admit(g.cfg.Now(), linkWait(u))
	if !ok {
		return forward.Relay(w, g.refuse(req, outcome.ReasonLinkFull, false))
	}
	defer ticket.Done()
	resp, err := g.RoundTrip(req)
	if err != nil {
		return err
	}
	return g.relayPaced(w, req, resp, ticket)
}

// linkWaitPart is the part of its target that a large answer may wait for the
// host's link: a caller that is refused so early is still served in time when it
// comes back. docs/MEASUREMENTS.md compares it with a third.
const linkWaitPart = 6

// linkWait returns how long a large answer may still wait for the host's link.
func linkWait(u outcome.Urgency) time.Duration {
	return max(0, u.Left-u.Target+u.Target/linkWaitPart)
}

// relayPaced sends an answer at the lane's rate, few at a time: answers that are
// sent side by side all end late. Small ones go at once.
func (g *Gate) relayPaced(w http.ResponseWriter, req *http.Request, resp *http.Response, t *pace.Ticket) error {
	size := resp.ContentLength
	if size >= 0 && size <= forward.PieceBytes {
		g.cfg.Lane.Small(g.cfg.Now(), size)
		return forward.Relay(w, resp)
	}
	if size > 0 {
		t.Size(float64(size))
	}
	select {
	case g.sending <- struct{}{}:
		defer func() { <-g.sending }()
	case <-req.Context().Done():
		_ = resp.Body.Close() // its caller has left
		return &forward.CallerError{Err: req.Context().Err()}
	}
	resp.Body = forward.Paced(req.Context(), resp.Body, t)
	return forward.Relay(w, resp)
}

// holdWhole takes a large answer whole from the backend server, so that its
// slot is free at once. Where there is no room the answer stays as it is. It
// reports false when the answer broke off.
func (g *Gate) holdWhole(resp *http.Response) bool {
	size := resp.ContentLength
	if size <= 0 || size > maxHeld {
		return true
	}
	if g.held.Add(size) > maxHeldAll {
		g.held.Add(-size)
		return true
	}
	body := make([]byte, size)
	if err := forward.ReadWhole(resp.Body, body); err != nil {
		g.held.Add(-size)
		return false
	}
	resp.Body = &heldBody{KeptBody: forward.NewKeptBody(body), release: func() { g.held.Add(-size) }}
	return true
}

// heldBody is a body that counts as held until it is closed.
type heldBody struct {
	*forward.KeptBody
	release func()
}

// Close implements io.Closer. It is called once, by who relays the answer.
func (b *heldBody) Close() error {
	if b.release != nil {
		b.release()
		b.release = nil
	}
	return nil
}

// isBulk reports whether a request asks for a large answer.
func isBulk(h http.Header) bool {
	v := h[outcome.HeaderKind]
	return len(v) == 1 && v[0] == string(model.KindBulk)
}
