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

// claimable reports whether the request needs a claim: it is non-repeatable and has an
// idempotency key, with which its caller may retry it.
func (x *exchange) claimable() bool {
	return x.plan.match.Class.Kind == model.KindNonRepeatable &&
		x.r.Header[outcome.HeaderIdempotencyKey] != nil
}

// beginClaim claims the request's key, if it is claimable. If it returns nil, the
// request may be sent, unless x.resp holds the replayed response of an earlier request.
func (x *exchange) beginClaim() *forward.Refusal {
	if !x.claimable() {
		return nil
	}
	keys := x.r.Header[outcome.HeaderIdempotencyKey]
	if len(keys) != 1 || keys[0] == "" {
		return x.p.notRun(outcome.ReasonMalformed, outcome.HeaderIdempotencyKey+" must hold one key")
	}
	fp := claim.Fingerprint{Method: x.r.Method, Target: x.r.URL.RequestURI()}
	if x.buffered {
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
		x.resp = replayResponse(*v.Replay)
	default:
		x.claim = held
	}
	return nil
}

// replayResponse returns the response that replays a stored one.
func replayResponse(a claim.Answer) *http.Response {
	h := make(http.Header, len(a.Header)+3)
	for _, f := range a.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	h[outcome.HeaderReplayed] = []string{"1"}
	return &http.Response{StatusCode: a.Status, Header: h, Body: forward.NewBufferedBody(a.Body), ContentLength: int64(len(a.Body))}
}

// endUnansweredClaim ends the claim of a request that got no response.
func (x *exchange) endUnansweredClaim(out outcome.Outcome) {
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

// storeResponse reads a small response whole and stores it with the claim, for replay
// to retries, before any of it is relayed. A larger one is streamed, and finishClaim
// ends its claim.
func (x *exchange) storeResponse() error {
	if x.claim == nil {
		return nil
	}
	start, err := io.ReadAll(io.LimitReader(x.resp.Body, claim.MaxBody+1))
	if err != nil {
		return errors.Join(&forward.TruncatedError{Err: err}, x.resp.Body.Close())
	}
	if len(start) > claim.MaxBody || len(x.resp.Trailer) > 0 {
		x.resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(start), x.resp.Body), Closer: x.resp.Body}
		return nil
	}
	x.claim.Done(claim.Answer{Status: x.resp.StatusCode, Header: storedFields(x.resp.Header), Body: start})
	x.claim = nil
	x.resp.Body = &prefixedBody{Reader: bytes.NewReader(start), Closer: x.resp.Body}
	return nil
}

// prefixedBody is a response body whose beginning has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// finishClaim ends the claim of a response that was not stored, after it was relayed
// with the result err. The outcome is unknown only if the response was truncated on the
// backend server's side; if the caller disconnected, the request did run.
func (x *exchange) finishClaim(err error) {
	if x.claim == nil {
		return
	}
	var truncated *forward.TruncatedError
	if errors.As(err, &truncated) {
		x.claim.Unknown()
	} else {
		x.claim.Done(claim.Answer{Status: x.resp.StatusCode, NotKept: true})
	}
	x.claim = nil
}

// storedFields returns the header fields that are stored with a response: all but the
// hop-by-hop fields, those of the nodes, and Content-Length, which the replay sets.
func storedFields(h http.Header) []claim.Field {
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
