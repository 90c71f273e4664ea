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

// loads is a dialect whose backend server tells what load says.
type loads struct {
	dialect.Dialect
	load func() (dialect.Load, bool, error)
}

func (l loads) Load(dialect.Header) (dialect.Load, bool, error) { return l.load() }

var errUnreadable = errors.New("unreadable")

// What the backend server tells of its host reaches other nodes with each answer while it
// is true; what it doesn't tell, or tells in an odd form, changes nothing.
func TestAnswersTellHowSlowTheHostIs(t *testing.T) {
	now := time.Unix(1000, 0)
	var told dialect.Load
	var err error
	g := New(Config{
		Dialect: loads{load: func() (dialect.Load, bool, error) { return told, err == nil, err }},
		Backend: forward.NewClient(forward.ClientConfig{}),
		Strain:  func(time.Time) attempt.BudgetUsage { return 0 },
		Metrics: metrics.NewSet(),
		Logger:  log.NewNopLogger(),
		Now:     func() time.Time { return now },
	})
	g.core.Update(core.Limits{Slots: 4, Connections: 4}, now)
	stamped := func() string {
		h := http.Header{}
		g.noteLoad(h)
		g.stamp(h)
		_, parseErr := balance.ParseLoad(h.Get(outcome.HeaderLoad))
		must.NoError(t, parseErr)
		return h.Get(outcome.HeaderLoad)
	}
	told = dialect.Load{Running: 1, Slots: 4}
	must.Eq(t, "0/4/0", stamped(), must.Sprint("no figure"))
	told.Slowdown = 0.7
	must.Eq(t, "0/4/0", stamped(), must.Sprint("its own speed"))
	told.Slowdown = 1.75
	must.Eq(t, "0/4/0/0/250", stamped())
	err = errUnreadable
	must.Eq(t, "0/4/0/0/250", stamped(), must.Sprint("the newest that could be read"))
	must.Eq(t, 1, g.unreadable.Get())
	now = now.Add(time.Second)
	must.Eq(t, "0/4/0", stamped(), must.Sprint("too old"))
}
