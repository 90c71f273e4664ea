package inbound

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// plain is a dialect in which every answer is the backend server's own.
type plain struct{ dialect.Dialect }

// Load implements dialect.Dialect: the backend server tells nothing.
func (plain) Load(dialect.Header) (dialect.Load, bool, error) { return dialect.Load{}, false, nil }

func (plain) RequestID(dialect.Header) string           { return "id" }
func (plain) Mark(dialect.Header, dialect.Marks)        {}
func (plain) Judge(int, dialect.Header) dialect.Verdict { return dialect.Ran }

// newGate returns a gate in front of a backend server.
func newGate(t *testing.T, runs *attempt.Runs, strain attempt.BudgetUsage, h http.HandlerFunc) (*Gate, *instance.Instance) {
	t.Helper()
	backend := httptest.NewServer(h)
	t.Cleanup(backend.Close)
	var local instance.Local
	local.Hear(time.Now(), instance.Heartbeat{
		Start: instance.Start{ID: "i"}, Addr: backend.Listener.Addr().String(), Service: "s", Slots: 2, Sequence: 1,
	})
	i := local.Current()
	g := New(Config{
		Instance:    func() *instance.Instance { return i },
		Service:     func(string) route.Service { return route.Service{} },
		Cold:        func(float64, time.Time) core.ColdLimits { return core.ColdLimits{} },
		ColdUnknown: func() bool { return false },
		Evacuated:   func() bool { return false },
		Dialect:     plain{},
		Backend:     forward.NewClient(forward.DefaultClientConfig()),
		Lane:        pace.New(pace.DefaultConfig(1e6)),
		Uploads:     pace.New(pace.DefaultConfig(1e6)),
		Runs:        runs,
		Strain:      func(time.Time) attempt.BudgetUsage { return strain },
		Suspects:    func() *suspect.View { return nil },
		Crashed:     func(suspect.Crash, []suspect.Fingerprint) {},
		Succeeded:   func(suspect.Fingerprint) {},
		Unreachable: func(string) {},
		Meter:       new(rollout.Meter),
		Routing:     func() *rollout.RoutingTable { return nil },
		Metrics:     metrics.NewSet(),
		Logger:      log.NewNopLogger(),
		Now:         time.Now,
	})
	g.Update()
	return g, i
}

func TestRepeatedRunIsKnownWhileItLasts(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		runs := attempt.NewRuns()
		until := time.Now().Add(5 * time.Second)
		during, told := false, ""
		g, i := newGate(t, runs, 0.123, func(_ http.ResponseWriter, r *http.Request) {
			during, told = runs.Call(until), r.Header.Get(outcome.HeaderRepeat)
		})
		r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		r.Header.Set(outcome.HeaderService, "s")
		r.Header.Set(outcome.HeaderInstance, i.Key())
		r.Header.Set(outcome.HeaderDeadline, "5000")
		r.Header.Set(outcome.HeaderUrgency, "500/500/1")
		if repeat {
			r.Header.Set(outcome.HeaderRepeat, "1")
		}
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		must.Eq(t, http.StatusOK, w.Code)
		must.Eq(t, repeat, during)
		must.Eq(t, "", told, must.Sprint("the backend server isn't told"))
		must.False(t, runs.Call(until))
		must.Eq(t, "13", w.Header().Get(outcome.HeaderStrain))
	}
}
