package inbound

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// loadDialect is a dialect whose backend server reports the result of load.
type loadDialect struct {
	dialect.Dialect
	load func() (dialect.Load, bool, error)
}

func (l loadDialect) Load(dialect.Header) (dialect.Load, bool, error) { return l.load() }

var errUnreadable = errors.New("unreadable")

// The slowness that the backend server reports must be sent to other nodes with each
// response until it is too old. A response that reports none, or one that can't be parsed,
// must not change it.
func TestResponsesCarryHostSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	var reported dialect.Load
	var err error
	g := New(Config{
		Dialect:     loadDialect{load: func() (dialect.Load, bool, error) { return reported, err == nil, err }},
		Backend:     forward.NewClient(forward.ClientConfig{}),
		BudgetUsage: func(time.Time) attempt.BudgetUsage { return 0 },
		Metrics:     metrics.NewSet(),
		Logger:      log.NewNopLogger(),
		Now:         func() time.Time { return now },
	})
	g.core.Update(core.Limits{Slots: 4, Connections: 4}, now)
	stamped := func() string {
		h := http.Header{}
		g.recordLoad(h)
		g.stamp(h)
		_, parseErr := balance.ParseLoad(h.Get(outcome.HeaderLoad))
		must.NoError(t, parseErr)
		return h.Get(outcome.HeaderLoad)
	}
	reported = dialect.Load{Running: 1, Slots: 4}
	must.Eq(t, "0/4/0", stamped(), must.Sprint("no slowness reported"))
	reported.Slowdown = 0.7
	must.Eq(t, "0/4/0", stamped(), must.Sprint("the first report sets the baseline"))
	reported.Slowdown = 1.75
	must.Eq(t, "0/4/0/0/250", stamped())
	err = errUnreadable
	must.Eq(t, "0/4/0/0/250", stamped(), must.Sprint("the last valid report must stay"))
	must.Eq(t, 1, g.unreadable.Get())
	now = now.Add(time.Second)
	must.Eq(t, "0/4/0", stamped(), must.Sprint("the report is too old"))
}
