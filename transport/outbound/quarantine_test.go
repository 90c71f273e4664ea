package outbound

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// quarantineOf returns a view in which the request of ask is quarantined.
func quarantineOf() *suspect.View {
	now := time.Now()
	table := suspect.NewTable()
	fingerprint := forward.Fingerprint(httptest.NewRequest(http.MethodGet, "http://h/x", nil), nil)
	table.Merge(now, suspect.Stored(fingerprint, now))
	return table.View()
}

// It can't be served, so its caller is told at once, and not to come back soon.
func TestQuarantinedRequestIsRefusedUnsent(t *testing.T) {
	g := &gates{answer: answered}
	p := newProxy(t, model.KindInteractive, 9, g)
	p.cfg.Suspects = quarantineOf
	w := ask(p)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "60.000", w.Header().Get("Retry-After"))
	must.Len(t, 0, g.waits)
}

// A gate that knows more than the entry node speaks for all.
func TestGateThatRefusesAQuarantinedRequestIsTheLastOneAsked(t *testing.T) {
	g := &gates{answer: func(int) (outcome.Outcome, outcome.Reason) { return outcome.NotRun, outcome.ReasonQuarantined }}
	w := ask(newProxy(t, model.KindInteractive, 9, g))
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Len(t, 1, g.waits)
}

// The third crash may be that of the request's own first attempt: it is not repeated,
// and its caller is told that it may have run.
func TestRequestThatIsQuarantinedMeanwhileMayHaveRun(t *testing.T) {
	var view *suspect.View
	g := &gates{answer: func(int) (outcome.Outcome, outcome.Reason) {
		view = quarantineOf()
		return outcome.Unknown, outcome.ReasonBackendFailed
	}}
	p := newProxy(t, model.KindInteractive, 9, g)
	p.cfg.Suspects = func() *suspect.View { return view }
	w := ask(p)
	must.Eq(t, http.StatusBadGateway, w.Code)
	must.Len(t, 1, g.waits)
}
