package inbound

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
)

// statingDialect is a dialect whose backend server states a limit, or something unreadable.
type statingDialect struct {
	plainDialect
	perSecond float64
	stated    bool
	err       error
}

func (d *statingDialect) Limit(dialect.Header) (float64, bool, error) {
	return d.perSecond, d.stated, d.err
}

// Guards against a log that grows with each response of a backend server.
func TestStatementsAreLoggedAtABoundedRate(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(http.ResponseWriter, *http.Request) {})
	var logged bytes.Buffer
	g.cfg.Logger = log.NewLogfmtLogger(&logged)
	now := time.Now()
	g.cfg.Now = func() time.Time { return now }
	d := &statingDialect{stated: true}
	g.cfg.Dialect = d
	c := call{instance: i}
	observe := func() {
		now = now.Add(10 * time.Millisecond)
		g.observeStatements(c, http.Header{}, now.Add(-time.Millisecond), true)
		g.Update()
	}
	g.Update()
	for n := range 300 {
		d.perSecond = float64(n % 7)
		observe()
	}
	lines := strings.Count(logged.String(), "event=backend_limit_changed")
	must.Between(t, 3, lines, 4)
	must.StrContains(t, logged.String(), "limited=true per_second=0 was_limited=false was_per_second=0 source=response")
	must.GreaterEq(t, 0, g.statedLimit())
	d.stated = false
	now = now.Add(time.Second)
	observe()
	must.StrContains(t, logged.String(), "limited=false per_second=0 was_limited=true")
	must.Eq(t, -1, g.statedLimit())
	d.err = errUnreadable
	for range 300 {
		observe()
	}
	must.Eq(t, 300, g.statements.unreadable.Get())
	must.Between(t, 3, strings.Count(logged.String(), "event=backend_statement_unreadable"), 4)
}
