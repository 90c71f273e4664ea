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

// quarantinedView returns a view in which the request that get sends is quarantined.
func quarantinedView() *suspect.View {
	now := time.Now()
	table := suspect.NewTable()
	fingerprint := forward.Fingerprint(httptest.NewRequest(http.MethodGet, "http://h/x", nil), nil)
	table.Merge(now, suspect.Stored(fingerprint, now))
	return table.View()
}

// A quarantined request can't be served: it is refused at once, with a long Retry-After delay.
func TestQuarantinedRequestIsRefusedUnsent(t *testing.T) {
	g := &gates{answer: answerAll}
	p := newProxy(t, model.KindInteractive, 9, g)
	p.cfg.Suspects = quarantinedView
	w := get(p)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "60.000", w.Header().Get("Retry-After"))
	must.Len(t, 0, g.dueMillis)
}

// A gate may have learned of a quarantine before the entry node: its refusal is final, as every
// other gate would refuse the request as well.
func TestQuarantineRefusalOfAGateIsFinal(t *testing.T) {
	g := &gates{answer: func(int) (outcome.Outcome, outcome.Reason) { return outcome.NotRun, outcome.ReasonQuarantined }}
	w := get(newProxy(t, model.KindInteractive, 9, g))
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Len(t, 1, g.dueMillis)
}

// The third crash, which causes the quarantine, may be that of the request's own first attempt:
// it is not repeated, and the status says that it may have run.
func TestRequestQuarantinedAfterAnAttemptMayHaveRun(t *testing.T) {
	var view *suspect.View
	g := &gates{answer: func(int) (outcome.Outcome, outcome.Reason) {
		view = quarantinedView()
		return outcome.Unknown, outcome.ReasonBackendFailed
	}}
	p := newProxy(t, model.KindInteractive, 9, g)
	p.cfg.Suspects = func() *suspect.View { return view }
	w := get(p)
	must.Eq(t, http.StatusBadGateway, w.Code)
	must.Len(t, 1, g.dueMillis)
}
