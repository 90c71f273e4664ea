package gate

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/crash"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// call is what the gate knows of a request.
type call struct {
	kind     model.ClassKind
	deadline time.Time
	// run is the request as the backend server runs it.
	run crash.Run
}

// maxDeadline stands for a request without a deadline.
const maxDeadline = time.Hour

func (g *Gate) check(r *http.Request, now time.Time) (call, *forward.Refusal) {
	a := g.cfg.Announcement()
	c := call{kind: model.ClassKind(r.Header.Get(outcome.HeaderKind)), run: crash.Run{Instance: instanceOf(a), Addr: a.Addr}}
	if !a.Announced() {
		return c, g.notRun(outcome.ReasonNoEndpoint, "no backend server is announced on this host")
	}
	if a.Service != r.Header.Get(outcome.HeaderService) {
		return c, g.notRun(outcome.ReasonWrongService, "this host offers service "+a.Service)
	}
	if a.Draining {
		return c, g.notRun(outcome.ReasonDraining, "the backend server is leaving")
	}
	ms, given, err := forward.HeaderInt(r.Header, outcome.HeaderDeadline)
	if err != nil {
		return c, g.notRun(outcome.ReasonMalformed, err.Error())
	}
	c.deadline = now.Add(maxDeadline)
	if given {
		c.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if c.run.Fingerprint, err = crash.Fingerprint(r); err != nil {
		return c, g.notRun(outcome.ReasonMalformed, err.Error())
	}
	return c, g.quarantined(c)
}

// quarantined refuses a request under which backend servers have crashed.
func (g *Gate) quarantined(c call) *forward.Refusal {
	if !g.crashes.Quarantined(c.run.Fingerprint) {
		return nil
	}
	return g.notRun(outcome.ReasonQuarantined, "backend servers have crashed under such requests")
}
