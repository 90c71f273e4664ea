package inbound

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// Guards against overloading a cold backend server: a node that has just started doesn't
// have the configuration yet, and so no limits for the cold backend server.
func TestColdBackendServerGetsNothingBeforeItsRateIsKnown(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(http.ResponseWriter, *http.Request) {})
	unknown := true
	g.cfg.ColdUnknown = func() bool { return unknown }
	reason := func() outcome.Reason {
		_, reason := g.check(gateRequest(t, i.Key()), time.Now())
		return reason
	}
	must.Eq(t, "", reason(), must.Sprint("the backend server is warm"))
	i.WarmAt = time.Now().Add(time.Hour)
	must.Eq(t, outcome.ReasonNotReady, reason())
	unknown = false
	must.Eq(t, "", reason())
}

// gateRequest returns a request of another node for an instance.
func gateRequest(t *testing.T, instance string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://gate/status", http.NoBody)
	must.NoError(t, err)
	r.Header = http.Header{
		outcome.HeaderService: {"s"}, outcome.HeaderInstance: {instance}, outcome.HeaderDeadline: {"1000"},
		outcome.HeaderUrgency: {outcome.Urgency{Left: time.Second, Target: time.Second}.String()},
	}
	return r
}
