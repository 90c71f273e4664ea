package inbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

const (
	// maxBuffered is the largest response of kind bulk that is read from the backend server
	// into memory, in bytes. The slot is then free while the response is sent to the entry
	// node.
	maxBuffered = 2 << 20
	// maxBufferedTotal bounds all responses that are buffered at one time, in bytes. It is
	// a tenth of the memory of the users' smallest hosts.
	maxBufferedTotal = 11 << 20
	// maxConcurrentSends is the number of large responses that are sent at the same time.
	// It is more than one so that one stalled receiver doesn't block the others.
	maxConcurrentSends = 2
	// sendGrace is how long after the request's deadline a large response may wait for its turn
	// to be sent, or for its receiver. The entry node reads no more of it after that.
	sendGrace = 100 * time.Millisecond
	// maxWritePause is how long a piece of a response may take to be written after that.
	maxWritePause = 100 * time.Millisecond
)

// serveBulk serves another node's request for a large response. It refuses the request
// without running it if the backlog of the link is longer than the wait that the entry node
// allows.
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
	reservation, backlog, ok := g.cfg.ResponseShaper.Reserve(g.cfg.Now(), time.Duration(wait)*time.Millisecond)
	if !ok {
		return forward.Relay(w, g.refuseLinkFull(req, backlog))
	}
	defer reservation.Done()
	resp, err := g.RoundTrip(req)
	if err != nil {
		return err
	}
	return g.relayPaced(w, req, resp, reservation, sendBy)
}

// refuseLinkFull refuses a request for a large response because of the link's backlog. The
// response carries the backlog, so that the entry node can choose the host with the
// shortest one.
func (g *Gate) refuseLinkFull(req *http.Request, backlog time.Duration) *http.Response {
	resp := g.refuse(req, outcome.ReasonLinkFull, false)
	resp.Header[outcome.HeaderLinkBacklog] = []string{strconv.FormatInt(backlog.Milliseconds(), 10)}
	return resp
}

// relayPaced relays a large response at the shaper's rate. At most maxConcurrentSends are
// sent at the same time, as each further one would delay all of them. A response of at most
// forward.PieceBytes is sent at once. Sending ends at sendBy unless it makes progress, so that a
// caller that reads nothing can't block others any longer.
func (g *Gate) relayPaced(w http.ResponseWriter, req *http.Request, resp *http.Response, t *pace.Reservation, sendBy time.Time) error {
	size := resp.ContentLength
	if size >= 0 && size <= forward.PieceBytes {
		g.cfg.ResponseShaper.CountSmall(g.cfg.Now(), size)
		return relay(w, req, resp, nil)
	}
	if size > 0 {
		t.SetSize(float64(size))
	}
	ctx := forward.NewBegunProgress(req.Context(), sendBy, g.cfg.ResponseExtension)
	defer ctx.End()
	select {
	case g.sending <- struct{}{}:
		defer func() { <-g.sending }()
	case <-ctx.Done():
		_ = resp.Body.Close() // the caller has gone, or sendBy has passed
		return &CutError{Length: size, Err: &forward.CallerError{Err: ctx.Err()}}
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(sendBy) // a writer without support for deadlines has no connection
	ctx.OnRead(func(now time.Time) {
		if next := now.Add(maxWritePause); next.After(sendBy) {
			_ = rc.SetWriteDeadline(next) // likewise
		}
	})
	if err := relay(w, req.WithContext(ctx), resp, t); err != nil {
		return err
	}
	_ = rc.SetWriteDeadline(time.Time{}) // or net/http applies it to the connection's next requests too
	return nil
}

// bufferResponse reads a large response whole from the backend server, which frees the
// slot. A response that is too large, of unknown length or beyond maxBufferedTotal stays as
// it is. An error means that the response was truncated.
func (g *Gate) bufferResponse(resp *http.Response) error {
	size := resp.ContentLength
	if size <= 0 || size > maxBuffered {
		return nil
	}
	if g.buffered.Add(size) > maxBufferedTotal {
		g.buffered.Add(-size)
		return nil
	}
	body := make([]byte, size)
	if err := forward.ReadExactly(resp.Body, body); err != nil {
		g.buffered.Add(-size)
		return err
	}
	resp.Body = &bufferedBody{BufferedBody: forward.NewBufferedBody(body), release: func() { g.buffered.Add(-size) }}
	return nil
}

// bufferedBody is a response body in memory. It counts towards maxBufferedTotal until it is
// closed.
type bufferedBody struct {
	*forward.BufferedBody
	release func()
}

// Close implements io.Closer. It is called once, by the code that relays the response.
func (b *bufferedBody) Close() error {
	if b.release != nil {
		b.release()
		b.release = nil
	}
	return nil
}

// isBulk reports whether the headers are those of a request for a large response.
func isBulk(h http.Header) bool {
	v := h[outcome.HeaderKind]
	return len(v) == 1 && v[0] == string(model.KindBulk)
}
