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

// plainDialect is a dialect in which the backend server has run each request that it
// responds to.
type plainDialect struct{ dialect.Dialect }

// Load implements dialect.Dialect: the backend server reports no load.
func (plainDialect) Load(dialect.Header) (dialect.Load, bool, error) {
	return dialect.Load{}, false, nil
}

// Limit implements dialect.Dialect: the backend server states no limit.
func (plainDialect) Limit(dialect.Header) (float64, bool, error) { return 0, false, nil }

func (plainDialect) RequestID(dialect.Header) string           { return "id" }
func (plainDialect) Mark(dialect.Header, dialect.Marks)        {}
func (plainDialect) Judge(int, dialect.Header) dialect.Verdict { return dialect.Ran }
func (plainDialect) Leaving(dialect.Header) (bool, error)      { return false, nil }
func (plainDialect) Signed(dialect.Header) bool                { return true }

// newGate returns a gate in front of a backend server that runs h.
func newGate(t *testing.T, runs *attempt.Runs, usage attempt.BudgetUsage, h http.HandlerFunc) (*Gate, *instance.Instance) {
	t.Helper()
	backend := httptest.NewServer(h)
	t.Cleanup(backend.Close)
	var local instance.Local
	local.RecordHeartbeat(time.Now(), instance.Heartbeat{
		Start: instance.Start{ID: "i"}, Addr: backend.Listener.Addr().String(), Service: "s", Slots: 2, Sequence: 1,
	})
	i := local.Current()
	g := New(Config{
		Instance:       func() *instance.Instance { return i },
		Service:        func(string) route.Service { return route.Service{} },
		Cold:           func(float64, time.Time) core.RateLimit { return core.RateLimit{} },
		ColdUnknown:    func() bool { return false },
		Evacuated:      func() bool { return false },
		Dialect:        plainDialect{},
		Backend:        forward.NewClient(forward.DefaultClientConfig()),
		ResponseShaper: pace.New(pace.DefaultConfig(1e6)),
		UploadShaper:   pace.New(pace.DefaultConfig(1e6)),
		Runs:           runs,
		BudgetUsage:    func(time.Time) attempt.BudgetUsage { return usage },
		Suspects:       func() *suspect.View { return nil },
		Crashed:        func(suspect.Crash, []suspect.Fingerprint) {},
		Succeeded:      func(suspect.Fingerprint) {},
		Unreachable:    func(string) {},
		Meter:          new(rollout.Meter),
		Routing:        func() *rollout.RoutingTable { return nil },
		Metrics:        metrics.NewSet(),
		Logger:         log.NewNopLogger(),
		Now:            time.Now,
	})
	g.Update()
	return g, i
}

func TestRepeatIsRegisteredWhileItRuns(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		runs := attempt.NewRuns()
		until := time.Now().Add(5 * time.Second)
		registered, header := false, ""
		g, i := newGate(t, runs, 0.123, func(_ http.ResponseWriter, r *http.Request) {
			registered, header = runs.Call(until), r.Header.Get(outcome.HeaderRepeat)
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
		must.Eq(t, repeat, registered)
		must.Eq(t, "", header, must.Sprint("the backend server must not get the header"))
		must.False(t, runs.Call(until))
		must.Eq(t, "13", w.Header().Get(outcome.HeaderBudgetUsage))
	}
}
