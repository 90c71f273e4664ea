package entry

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// plan is the routing decision for a request, made before any of it is sent.
type plan struct {
	match    snapshot.Match
	deadline time.Time
	hops     int // the request's hop count, this hop included
	// older reports whether the older system handles the request.
	older bool
}

// decide returns the plan for a request, or a refusal. It allocates nothing for an
// accepted request.
func (p *Proxy) decide(r *http.Request, now time.Time) (plan, *forward.Refusal) {
	var pl plan
	snap := p.cfg.Snapshot()
	if snap == nil || !p.cfg.Ready() {
		pl.older = p.olderWhileUnready(snap, r)
		if pl.older {
			return pl, nil
		}
		return pl, p.notRun(outcome.ReasonNotReady, "no whole configuration is held yet")
	}
	m, found := snap.Lookup(r.Host, r.Method, r.URL.Path)
	pl.match = m
	switch {
	case !found:
		return pl, p.notRun(outcome.ReasonNoOrganisation, "no contract has this host")
	case m.HandledBy == model.SystemOlder:
		pl.older = true
		return pl, nil
	case m.Route == nil:
		return pl, p.notRun(outcome.ReasonNoRoute, "no route matches")
	}
	return pl, p.setLimits(&pl, r, now)
}

// olderWhileUnready reports whether a request goes to the older system while the node
// is not ready. A held configuration, even if it may be out of date, still determines
// which traffic the mesh handles. A request with an idempotency key may be the retry
// of one that ran in the mesh, so it is refused: the older system would run it again.
func (p *Proxy) olderWhileUnready(snap *snapshot.Snapshot, r *http.Request) bool {
	if p.cfg.OlderAddr == "" || r.Header[outcome.HeaderIdempotencyKey] != nil {
		return false
	}
	if snap == nil {
		return true
	}
	m, found := snap.Lookup(r.Host, r.Method, r.URL.Path)
	return !found || m.HandledBy == model.SystemOlder
}

// setLimits sets the plan's hop count and deadline, or returns a refusal if the
// headers are malformed, the chain of calls is too long or the deadline has passed. A
// caller's deadline can only shorten that of the class.
func (p *Proxy) setLimits(pl *plan, r *http.Request, now time.Time) *forward.Refusal {
	hops, _, err := forward.HeaderInt(r.Header, outcome.HeaderHops)
	if err != nil {
		return p.notRun(outcome.ReasonMalformed, err.Error())
	}
	pl.hops = hops + 1
	if pl.hops > p.cfg.MaxHops {
		return p.notRun(outcome.ReasonLoop, "too many hops")
	}
	pl.deadline = now.Add(pl.match.Class.Deadline.Std())
	ms, given, err := forward.HeaderInt(r.Header, outcome.HeaderDeadline)
	if err != nil {
		return p.notRun(outcome.ReasonMalformed, err.Error())
	}
	if !given {
		return nil
	}
	if ms == 0 {
		return p.notRun(outcome.ReasonDeadline, "the deadline has passed")
	}
	if d := now.Add(time.Duration(ms) * time.Millisecond); d.Before(pl.deadline) {
		pl.deadline = d
	}
	return nil
}

// notRun returns a refusal of a request that was not run, with the default Retry-After
// delay.
func (p *Proxy) notRun(reason outcome.Reason, detail string) *forward.Refusal {
	r := forward.NotRun(reason, detail)
	r.RetryAfter = p.cfg.RetryAfter
	return r
}
