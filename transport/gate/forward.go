package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// forward sends the request, whose body is stream, to the backend server and relays the response. It returns true
// if the backend server ran the request and its response was relayed whole.
func (g *Gate) forward(ctx *forward.Progress, w http.ResponseWriter, r *http.Request, stream *forward.StreamBody, c call) bool {
	remaining := c.deadline.Sub(g.cfg.Now()).Milliseconds()
	if remaining <= 0 {
		g.refuse(w, g.notRun(outcome.ReasonDeadline, "the deadline passed before the request was sent"))
		return false
	}
	resp, err := forward.Send(g.cfg.Backend, backendRequest(ctx, r, stream, c.run.Addr, remaining), w)
	if err != nil {
		g.refuse(w, g.failed(ctx, r, c, err))
		return false
	}
	if shed(resp) {
		refusal := g.notRun(outcome.ReasonBackendRefused, "the backend server shed the request")
		refusal.RetryAfter = forward.RetryAfter(resp.Header, g.cfg.RetryAfter)
		forward.Drain(resp)
		g.crashes.Alive(c.run)
		g.refuse(w, refusal)
		return false
	}
	g.relay(ctx, w, resp, c, stream)
	return true
}

// backendRequest returns the request to send to the backend server. remaining is the time
// until its deadline in milliseconds.
func backendRequest(ctx context.Context, r *http.Request, stream *forward.StreamBody, addr string, remaining int64) *http.Request {
	var body io.ReadCloser
	if stream != nil {
		body = stream
	}
	out := forward.NewRequest(ctx, r, "http", addr, body, r.ContentLength)
	delete(out.Header, outcome.HeaderKind)
	delete(out.Header, outcome.HeaderService)
	delete(out.Header, outcome.HeaderFingerprint)
	out.Header[outcome.HeaderDeadline] = []string{strconv.FormatInt(remaining, 10)}
	return out
}

// shed reports whether the backend server declares that it shed the request without running
// it.
func shed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == ShedNotRun
}

// failed returns the refusal for a request that got no response, and records the failure.
func (g *Gate) failed(ctx context.Context, r *http.Request, c call, err error) *forward.Refusal {
	var send *forward.SendError
	sent := !errors.As(err, &send) || send.Sent
	switch {
	case !sent && ctx.Err() == nil:
		g.crashes.Unsent(c.run, err)
		return g.notRun(outcome.ReasonBackendRefused, "the backend server can't be reached")
	case !sent:
		return g.notRun(reasonOf(ctx, r), "given up before the request was sent")
	case ctx.Err() != nil:
		g.crashes.Abandoned(c.run)
		return forward.Unknown(reasonOf(ctx, r), "given up while the request ran")
	default:
		g.crashes.ConnectionLost(c.run)
		return forward.Unknown(outcome.ReasonBackendFailed, "the connection to the backend server broke")
	}
}

// reasonOf returns whether a request was given up for its deadline or because its caller
// cancelled it.
func reasonOf(ctx context.Context, r *http.Request) outcome.Reason {
	if r.Context().Err() == nil && ctx.Err() != nil {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// relay relays the response. It aborts the connection if the response is truncated.
func (g *Gate) relay(ctx *forward.Progress, w http.ResponseWriter, resp *http.Response, c call, stream *forward.StreamBody) {
	forward.StripNodeHeaders(resp.Header)
	g.stamp(resp.Header)
	resp.Header[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	resp.Body = ctx.Body(resp.Body)
	err := forward.Relay(w, resp)
	if err == nil {
		g.crashes.Answered(c.run, resp.StatusCode)
		return
	}
	var cut *forward.TruncatedError
	if errors.As(err, &cut) && ctx.Err() == nil {
		g.crashes.ConnectionLost(c.run)
	} else {
		g.crashes.Abandoned(c.run)
	}
	if cut != nil {
		g.truncated.Inc()
		_ = level.Warn(g.cfg.Logger).Log("event", "backend_response_truncated", "err", err)
	}
	stream.Detach(w)
	panic(http.ErrAbortHandler)
}
