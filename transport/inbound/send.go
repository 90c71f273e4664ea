package inbound

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// send sends the request to the backend server. The request holds a slot.
func (g *Gate) send(req *http.Request, c call) *http.Response {
	started := g.cfg.Now()
	ctx, cancel := context.WithDeadline(req.Context(), c.Deadline.Add(g.cfg.AnswerGrace))
	out := req.WithContext(ctx)
	url := *req.URL
	url.Scheme, url.Host = "http", c.instance.Addr
	out.URL = &url
	caller, organisation := req.Header.Get(outcome.HeaderCaller), req.Header.Get(outcome.HeaderOrganisation)
	repeat := out.Header[outcome.HeaderRepeat] != nil
	if repeat {
		g.cfg.Runs.Begin(c.Deadline)
	}
	forward.StripNodeHeaders(out.Header)
	delete(out.Header, outcome.HeaderDeadline)
	g.cfg.Dialect.Mark(out.Header, dialect.Marks{
		Remaining:     c.Deadline.Sub(started),
		Instance:      c.instance.ID,
		CallerService: caller,
		Organisation:  organisation,
	})
	slowdown := g.slowdown()
	done := func(took time.Duration) {
		cancel()
		g.core.ReleaseSlowed(c.Work, took, slowdown, g.cfg.Now())
		if repeat {
			g.cfg.Runs.End(c.Deadline)
		}
	}
	resp, err := forward.Send(g.cfg.Backend, out, nil)
	if err != nil {
		done(0)
		return g.failed(req, c, started, err)
	}
	g.noteLoad(resp.Header)
	return g.judge(ctx, req, c, resp, started, done)
}

// judge reads the backend server's response. It holds the slot until the body, or ctx,
// has ended.
func (g *Gate) judge(ctx context.Context, req *http.Request, c call, resp *http.Response, started time.Time, done func(time.Duration)) *http.Response {
	switch g.cfg.Dialect.Judge(resp.StatusCode, resp.Header) {
	case dialect.Ran:
		h := resp.Header
		forward.StripNodeHeaders(h)
		h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
		h[outcome.HeaderReached] = reachedValue
		bodyless := resp.Body == http.NoBody
		body := &slotBody{ReadCloser: resp.Body, ctx: ctx, left: resp.ContentLength, took: g.cfg.Now().Sub(started), now: g.cfg.Now}
		body.done = func(took time.Duration, how bodyEnd) {
			done(took)
			g.bodyEnded(req, c, started, took, resp.StatusCode, how)
		}
		if !bodyless {
			body.watch()
		}
		resp.Body = body
		if c.Work.Kind == model.KindBulk && !bodyless {
			if err := g.holdWhole(resp); err != nil {
				cut := &CutError{Received: resp.ContentLength - body.left, Length: resp.ContentLength, Err: &forward.TruncatedError{Err: err}}
				g.noteCut(req.Header, c.instance.Key(), cut)
				return g.unknown(req, outcome.ReasonBackendFailed)
			}
		}
		g.stamp(h)
		if typical := g.core.Typical(c.Work); typical > 0 {
			h[outcome.HeaderTypical] = []string{strconv.FormatInt(typical.Microseconds(), 10)}
		}
		return resp
	case dialect.Misdirected:
		forward.Drain(resp)
		done(0)
		g.cfg.Replaced(c.instance.Key())
		return g.refuse(req, outcome.ReasonWrongService, true)
	case dialect.Refused:
		forward.Drain(resp)
		done(0)
		g.crashes.Alive(c.run(started))
		return g.refuse(req, outcome.ReasonBackendRefused, true)
	default:
		_ = resp.Body.Close() // what it holds is of no use
		done(0)
		return g.unknown(req, outcome.ReasonBackendFailed)
	}
}

// failed answers a request that got no response.
func (g *Gate) failed(req *http.Request, c call, started time.Time, err error) *http.Response {
	sent := wasSent(err)
	if !sent && req.Context().Err() == nil {
		g.cfg.Unreachable(c.instance.Key())
	}
	reason := outcome.ReasonBackendFailed
	switch {
	case req.Context().Err() != nil:
		reason = outcome.ReasonCancelled
	case !g.cfg.Now().Before(c.Deadline):
		reason = outcome.ReasonDeadline
	}
	_ = g.cfg.Details.Log("event", "backend_send_failed", "request", g.cfg.Dialect.RequestID(req.Header),
		"fingerprint", c.fingerprint, "path", req.URL.Path, "instance", c.instance.Key(), "sent", sent, "reason", reason, "err", err)
	switch {
	case !sent:
		g.crashes.Unsent(c.run(started), err)
		return g.refuse(req, reason, false)
	case reason == outcome.ReasonBackendFailed:
		g.cfg.Meter.Failed(c.Work)
		g.crashes.Broken(c.run(started))
	default:
		if reason == outcome.ReasonDeadline {
			g.cfg.Meter.Failed(c.Work)
		}
		g.crashes.Left(c.run(started))
	}
	return g.unknown(req, reason)
}
