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

// call is what the gate knows of a request.
type call struct {
	core.Request
	instance *instance.Instance
	// fingerprint is that of what the request asks for; 0 where the entry node tells
	// none.
	fingerprint suspect.Fingerprint
	// startBy is until when the request may be handed to the backend server; zero is no
	// bound.
	startBy time.Time
}

// check reads the node headers and refuses what can't be sent.
func (g *Gate) check(req *http.Request, now time.Time) (call, outcome.Reason) {
	c := call{instance: g.cfg.Instance()}
	i := c.instance
	switch {
	case i == nil:
		return c, outcome.ReasonNoEndpoint
	case i.Service != req.Header.Get(outcome.HeaderService), i.Key() != req.Header.Get(outcome.HeaderInstance):
		return c, outcome.ReasonWrongService
	case g.left(i, now):
		return c, outcome.ReasonDraining
	case g.cfg.Evacuated():
		return c, outcome.ReasonEvacuated
	case g.withdrawn(i):
		return c, outcome.ReasonWithdrawn
	case now.Before(i.WarmAt) && g.cfg.ColdUnknown():
		return c, outcome.ReasonNotReady // any request may be one too many
	}
	if !g.read(&c, req, now) {
		return c, outcome.ReasonMalformed
	}
	if g.crashes.Quarantined(c.fingerprint) {
		return c, outcome.ReasonQuarantined
	}
	return c, ""
}

// read takes over what the node headers tell of a request, and reports false where one of them
// can't be read.
func (g *Gate) read(c *call, req *http.Request, now time.Time) bool {
	h := req.Header
	left, given, err := forward.HeaderInt(h, outcome.HeaderDeadline)
	if err != nil || !given {
		return false
	}
	within, bounded, err := forward.HeaderInt(h, outcome.HeaderStartWithin)
	if err != nil {
		return false
	}
	if bounded {
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
	c.Reroutable = h[outcome.HeaderElsewhere] != nil
	c.fingerprint, err = crash.Fingerprint(req)
	return err == nil
}

// run returns the request as the backend server runs it.
func (c *call) run(sent time.Time) crash.Run {
	return crash.Run{Instance: c.instance.Key(), Addr: c.instance.Addr, Fingerprint: c.fingerprint, Sent: sent}
}
