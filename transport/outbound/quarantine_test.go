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

// oneTrial is a Trials that allows one.
type oneTrial struct {
	left, returned int
	headers        []string
}

func (o *oneTrial) Take(suspect.Fingerprint) bool {
	o.left--
	return o.left >= 0
}

func (o *oneTrial) Return(suspect.Fingerprint) { o.returned++ }

// newTrialProxy returns a proxy that may try the quarantined request of get once.
func newTrialProxy(t *testing.T, answer func(n int) (outcome.Outcome, outcome.Reason)) (*Proxy, *gates, *oneTrial) {
	g, trials := &gates{answer: answer}, &oneTrial{left: 1}
	p := newProxy(t, model.KindInteractive, 9, roundTrip(func(r *http.Request) (*http.Response, error) {
		trials.headers = append(trials.headers, r.Header.Get(outcome.HeaderTrial))
		return g.RoundTrip(r)
	}))
	p.cfg.Suspects, p.cfg.Trials = quarantinedView, trials
	return p, g, trials
}

func TestTrialOfAQuarantinedRequestIsSentOnce(t *testing.T) {
	p, g, trials := newTrialProxy(t, answerAll)
	must.Eq(t, http.StatusOK, get(p).Code)
	must.Eq(t, http.StatusServiceUnavailable, get(p).Code)
	must.Len(t, 1, g.dueMillis)
	must.Eq(t, []string{"1"}, trials.headers)
	must.Zero(t, trials.returned)
}

// Guards against a trial that ends a second backend server by a repeat.
func TestTrialThatMayHaveRunIsNotRepeated(t *testing.T) {
	p, g, trials := newTrialProxy(t, func(int) (outcome.Outcome, outcome.Reason) { return outcome.Unknown, outcome.ReasonBackendFailed })
	must.Eq(t, http.StatusBadGateway, get(p).Code)
	must.Len(t, 1, g.dueMillis)
	must.Zero(t, trials.returned)
}

// Guards against a trial that is used up by full backend servers.
func TestTrialThatReachesNoServerIsReturned(t *testing.T) {
	p, _, trials := newTrialProxy(t, func(int) (outcome.Outcome, outcome.Reason) { return outcome.NotRun, outcome.ReasonQueueFull })
	must.Eq(t, http.StatusServiceUnavailable, get(p).Code)
	must.Eq(t, 1, trials.returned)
}

// Guards against callers that pass a quarantine by a header of their own.
func TestTrialHeaderOfACallerIsRemoved(t *testing.T) {
	p, _, trials := newTrialProxy(t, answerAll)
	p.cfg.Suspects = func() *suspect.View { return nil }
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set(outcome.HeaderTrial, "1")
	p.ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, []string{""}, trials.headers)
}
