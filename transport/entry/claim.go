package entry

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// claimable reports whether the request is claimed: non-repeatable, and with a
// key by which its caller would repeat it.
func (x *exchange) claimable() bool {
	return x.plan.match.Class.Kind == model.KindNonRepeatable &&
		x.r.Header[outcome.HeaderIdempotencyKey] != nil
}

// beginClaim claims the request's key. On nil the request may be sent, unless
// x.resp holds the answer of an earlier one.
func (x *exchange) beginClaim() *forward.Refusal {
	if !x.claimable() {
		return nil
	}
	keys := x.r.Header[outcome.HeaderIdempotencyKey]
	if len(keys) != 1 || keys[0] == "" {
		return x.p.notRun(outcome.ReasonMalformed, outcome.HeaderIdempotencyKey+" must hold one key")
	}
	fp := claim.Fingerprint{Method: x.r.Method, Target: x.r.URL.RequestURI()}
	if x.kept {
		sum := sha256.Sum256(x.body)
		fp.BodyHash = sum[:]
	}
	held, v := x.p.cfg.Claim.Begin(x.ctx, x.plan.match.Contract.Organisation, keys[0], fp)
	switch {
	case v.Refusal != nil:
		return &forward.Refusal{
			Outcome: v.Refusal.Outcome, Reason: v.Refusal.Reason,
			Detail: "the key can't be claimed", RetryAfter: v.Refusal.RetryAfter,
		}
	case v.Replay != nil:
		x.resp = replayed(*v.Replay)
	default:
		x.claim = held
	}
	return nil
}

// replayed returns the response that repeats a kept answer.
func replayed(a claim.Answer) *http.Response {
	h := make(http.Header, len(a.Header)+3)
	for _, f := range a.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	h[outcome.HeaderReplayed] = []string{"1"}
	return &http.Response{StatusCode: a.Status, Header: h, Body: forward.NewBufferedBody(a.Body), ContentLength: int64(len(a.Body))}
}

// endClaim ends the claim of a request that got no answer.
func (x *exchange) endClaim(out outcome.Outcome) {
	if x.claim == nil {
		return
	}
	if out == outcome.NotRun {
		x.claim.NotRun()
	} else {
		x.claim.Unknown()
	}
	x.claim = nil
}

// keepAnswer reads a small answer whole and keeps it for repeats before any of
// it is passed on. A larger one is streamed; finishClaim ends its claim.
func (x *exchange) keepAnswer() error {
	if x.claim == nil {
		return nil
	}
	start, err := io.ReadAll(io.LimitReader(x.resp.Body, claim.MaxBody+1))
	if err != nil {
		return errors.Join(&forward.TruncatedError{Err: err}, x.resp.Body.Close())
	}
	if len(start) > claim.MaxBody || len(x.resp.Trailer) > 0 {
		x.resp.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(start), x.resp.Body), Closer: x.resp.Body}
		return nil
	}
	x.claim.Done(claim.Answer{Status: x.resp.StatusCode, Header: fields(x.resp.Header), Body: start})
	x.claim = nil
	x.resp.Body = &prefixed{Reader: bytes.NewReader(start), Closer: x.resp.Body}
	return nil
}

// prefixed is a body whose start was read already.
type prefixed struct {
	io.Reader
	io.Closer
}

// finishClaim ends the claim of an answer that was too large to keep. Only the
// upstream's break leaves the outcome open; the caller's own doesn't.
func (x *exchange) finishClaim(err error) {
	if x.claim == nil {
		return
	}
	var cut *forward.TruncatedError
	if errors.As(err, &cut) {
		x.claim.Unknown()
	} else {
		x.claim.Done(claim.Answer{Status: x.resp.StatusCode, NotKept: true})
	}
	x.claim = nil
}

// fields returns the headers that are kept with an answer.
func fields(h http.Header) []claim.Field {
	h = h.Clone()
	forward.RemoveHopByHop(h)
	forward.StripNodeHeaders(h)
	delete(h, "Content-Length")
	var out []claim.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, claim.Field{Name: name, Value: v})
		}
	}
	return out
}
