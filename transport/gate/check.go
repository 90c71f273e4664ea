package gate

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/crash"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// call is a request as described by its node headers.
type call struct {
	kind     model.ClassKind
	deadline time.Time
	// run is the run of the request by the backend server.
	run crash.Run
}

// maxDeadline is the time until the deadline of a request that carries none.
const maxDeadline = time.Hour

// check parses the node headers. It returns a refusal if the request can't be admitted,
// else nil.
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

// quarantined refuses a request if backend servers have crashed while they ran such
// requests. It returns nil for any other request.
func (g *Gate) quarantined(c call) *forward.Refusal {
	if !g.crashes.Quarantined(c.run.Fingerprint) {
		return nil
	}
	return g.notRun(outcome.ReasonQuarantined, "backend servers have crashed under such requests")
}
