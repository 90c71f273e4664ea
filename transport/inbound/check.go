package inbound

import (
	"net/http"
	"time"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/crash"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// call is a request as described by its node headers, with the instance that it is for.
type call struct {
	core.Request
	instance *instance.Instance
	// fingerprint identifies what the request asks for; 0 if the entry node sent no
	// fingerprint.
	fingerprint suspect.Fingerprint
	// trial reports whether the request is the trial of its quarantine.
	trial bool
	// startBy is the time after which the request must not be sent to the backend server;
	// zero is no bound.
	startBy time.Time
}

// check parses the node headers. It returns the reason for a refusal, or "" if the request
// may be admitted.
func (g *Gate) check(req *http.Request, now time.Time) (call, outcome.Reason) {
	c := call{instance: g.cfg.Instance()}
	i := c.instance
	switch {
	case i == nil:
		return c, outcome.ReasonNoEndpoint
	case i.Service != req.Header.Get(outcome.HeaderService), i.Key() != req.Header.Get(outcome.HeaderInstance):
		return c, outcome.ReasonWrongService
	case g.drainGraceOver(i, now):
		return c, outcome.ReasonDraining
	case g.cfg.Evacuated():
		return c, outcome.ReasonEvacuated
	case g.withdrawn(i):
		return c, outcome.ReasonWithdrawn
	case now.Before(i.WarmAt) && g.cfg.ColdUnknown():
		return c, outcome.ReasonNotReady // even one request may exceed the cold limits
	}
	if !g.parseHeaders(&c, req, now) || !g.adoptLimit(&c, req.Header, now) {
		return c, outcome.ReasonMalformed
	}
	if g.quarantined(&c) {
		return c, outcome.ReasonQuarantined
	}
	return c, ""
}

// quarantined reports whether the request must not be sent because backend servers have crashed
// under such requests.
func (g *Gate) quarantined(c *call) bool { return g.crashes.Quarantined(c.fingerprint) && !c.trial }

// parseHeaders fills c from the node headers of a request. It returns false if one of them
// is invalid.
func (g *Gate) parseHeaders(c *call, req *http.Request, now time.Time) bool {
	h := req.Header
	left, given, err := forward.HeaderInt(h, outcome.HeaderDeadline)
	if err != nil || !given {
		return false
	}
	within, limited, err := forward.HeaderInt(h, outcome.HeaderStartWithin)
	if err != nil {
		return false
	}
	if limited {
		c.startBy = now.Add(time.Duration(within) * time.Millisecond)
	}
	c.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	u, err := outcome.ParseUrgency(h.Get(outcome.HeaderUrgency))
	if err != nil {
		return false
	}
	c.Work = model.Work{Kind: model.ClassKind(h.Get(outcome.HeaderKind)), Rank: u.Rank, Target: u.Target}
	c.Due = now.Add(u.Left)
	if c.Organisation = h.Get(outcome.HeaderOrganisation); c.Organisation != "" {
		c.Weight = g.cfg.Weight(c.Organisation)
	}
	c.Reroutable = h[outcome.HeaderReroutable] != nil
	c.trial = h[outcome.HeaderTrial] != nil
	c.fingerprint, err = crash.Fingerprint(req)
	return err == nil
}

// run returns the run of the request by the backend server, as the crash observer needs it.
// sent is when it was sent.
func (c *call) run(sent time.Time) crash.Run {
	return crash.Run{Instance: c.instance.Key(), Addr: c.instance.Addr, Fingerprint: c.fingerprint, Sent: sent}
}
