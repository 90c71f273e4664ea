package inbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// send sends an admitted request to the backend server. The request's slot is released when
// the response ends.
func (g *Gate) send(req *http.Request, c call) *http.Response {
	started := g.cfg.Now()
	ctx := forward.NewProgress(req.Context(), c.Deadline.Add(g.cfg.AnswerGrace), g.cfg.ResponseExtension)
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
	done := func(serviceTime time.Duration) {
		ctx.End()
		g.core.ReleaseSlowed(c.Work, serviceTime, slowdown, g.cfg.Now())
		if repeat {
			g.cfg.Runs.End(c.Deadline)
		}
	}
	g.sent.Inc()
	resp, err := forward.Send(g.cfg.Backend, out, nil)
	if err != nil {
		done(0)
		return g.failed(req, c, started, err)
	}
	g.recordLoad(resp.Header)
	return g.judge(ctx, req, c, resp, started, done)
}

// judge classifies the backend server's response and returns the one for the entry node.
// For a response to a request that ran, the slot is held until the body or ctx ends.
func (g *Gate) judge(ctx *forward.Progress, req *http.Request, c call, resp *http.Response, started time.Time, done func(time.Duration)) *http.Response {
	switch g.cfg.Dialect.Judge(resp.StatusCode, resp.Header) {
	case dialect.Ran:
		h := resp.Header
		g.observeStatements(c, h, started, true)
		forward.StripNodeHeaders(h)
		h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
		h[outcome.HeaderReached] = reachedValue
		noBody := resp.Body == http.NoBody
		body := &slotBody{ReadCloser: ctx.Body(resp.Body), ctx: ctx, remaining: resp.ContentLength, serviceTime: g.cfg.Now().Sub(started), now: g.cfg.Now}
		body.done = func(serviceTime time.Duration, how bodyEnd) {
			done(serviceTime)
			g.recordBodyEnd(req, c, started, serviceTime, resp.StatusCode, how)
		}
		if !noBody {
			body.watch()
		}
		resp.Body = body
		if c.Work.Kind == model.KindBulk && !noBody {
			if err := g.bufferResponse(resp); err != nil {
				cut := &CutError{Received: resp.ContentLength - body.remaining, Length: resp.ContentLength, Err: &forward.TruncatedError{Err: err}}
				g.logCut(req.Header, c.instance.Key(), cut)
				return g.unknown(req, outcome.ReasonBackendFailed)
			}
		}
		g.stamp(h)
		if meanServiceTime := g.core.Typical(c.Work); meanServiceTime > 0 {
			h[outcome.HeaderMeanServiceTime] = []string{strconv.FormatInt(meanServiceTime.Microseconds(), 10)}
		}
		return resp
	case dialect.Misdirected:
		forward.Drain(resp)
		done(0)
		g.cfg.Replaced(c.instance.Key())
		return g.refuse(req, outcome.ReasonWrongService, true)
	case dialect.Refused:
		g.observeStatements(c, resp.Header, started, false)
		forward.Drain(resp)
		done(0)
		g.crashes.Alive(c.run(started))
		return g.refuse(req, outcome.ReasonBackendRefused, true)
	default:
		_ = resp.Body.Close() // the outcome is unknown whatever the body contains
		done(0)
		return g.unknown(req, outcome.ReasonBackendFailed)
	}
}

// failed returns the response to a request that got none from the backend server, and
// records the failure.
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
		g.crashes.ConnectionLost(c.run(started))
	default:
		if reason == outcome.ReasonDeadline {
			g.cfg.Meter.Failed(c.Work)
		}
		g.crashes.Abandoned(c.run(started))
	}
	return g.unknown(req, reason)
}
