package inbound

import (
	"context"
	"net/http"
	"strconv"
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
	// sendGrace is how long past the request's deadline a large answer is still sent: its entry
	// node takes no more of it then.
	sendGrace = 100 * time.Millisecond
)

// serveBulk serves a request for a large answer of another node.
func (g *Gate) serveBulk(w http.ResponseWriter, req *http.Request) error {
	wait, given, err := forward.HeaderInt(req.Header, outcome.HeaderLinkWait)
	if err != nil || !given {
		return forward.Relay(w, g.refuse(req, outcome.ReasonMalformed, false))
	}
	left, given, err := forward.HeaderInt(req.Header, outcome.HeaderDeadline)
	if err != nil || !given {
		return forward.Relay(w, g.refuse(req, outcome.ReasonMalformed, false))
	}
	sendBy := g.cfg.Now().Add(time.Duration(left)*time.Millisecond + sendGrace)
	ticket, backlog, ok := g.cfg.Lane.Reserve(g.cfg.Now(), time.Duration(wait)*time.Millisecond)
	if !ok {
		return forward.Relay(w, g.refuseLink(req, backlog))
	}
	defer ticket.Done()
	resp, err := g.RoundTrip(req)
	if err != nil {
		return err
	}
	return g.relayPaced(w, req, resp, ticket, sendBy)
}

// refuseLink refuses a large answer for the link's backlog, and tells it, so that
// the entry node can take the host with the shortest one.
func (g *Gate) refuseLink(req *http.Request, backlog time.Duration) *http.Response {
	resp := g.refuse(req, outcome.ReasonLinkFull, false)
	resp.Header[outcome.HeaderLinkBacklog] = []string{strconv.FormatInt(backlog.Milliseconds(), 10)}
	return resp
}

// relayPaced sends an answer at the lane's rate, few at a time: answers that are
// sent side by side all end late. Small ones go at once. A caller that takes nothing keeps its place
// until sendBy.
func (g *Gate) relayPaced(w http.ResponseWriter, req *http.Request, resp *http.Response, t *pace.Reservation, sendBy time.Time) error {
	size := resp.ContentLength
	if size >= 0 && size <= forward.PieceBytes {
		g.cfg.Lane.CountSmall(g.cfg.Now(), size)
		return relay(w, req, resp, nil)
	}
	if size > 0 {
		t.SetSize(float64(size))
	}
	ctx, cancel := context.WithDeadline(req.Context(), sendBy)
	defer cancel()
	select {
	case g.sending <- struct{}{}:
		defer func() { <-g.sending }()
	case <-ctx.Done():
		_ = resp.Body.Close() // its caller has left, or takes it no longer
		return &CutError{Length: size, Err: &forward.CallerError{Err: ctx.Err()}}
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(sendBy) // a writer that can't do it has no connection
	if err := relay(w, req.WithContext(ctx), resp, t); err != nil {
		return err
	}
	_ = rc.SetWriteDeadline(time.Time{}) // net/http keeps it for the connection's next requests
	return nil
}

// holdWhole takes a large answer whole from the backend server, so that its
// slot is free at once. Where there is no room the answer stays as it is. The
// error is that of an answer that broke off.
func (g *Gate) holdWhole(resp *http.Response) error {
	size := resp.ContentLength
	if size <= 0 || size > maxHeld {
		return nil
	}
	if g.held.Add(size) > maxHeldAll {
		g.held.Add(-size)
		return nil
	}
	body := make([]byte, size)
	if err := forward.ReadWhole(resp.Body, body); err != nil {
		g.held.Add(-size)
		return err
	}
	resp.Body = &heldBody{KeptBody: forward.NewKeptBody(body), release: func() { g.held.Add(-size) }}
	return nil
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
