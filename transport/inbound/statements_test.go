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
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
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

// Guards against a restarted gate that sends requests to a limited backend server before it has
// received a response from it, and against malformed hints.
func TestRestartedGateLearnsTheLimitFromEntryNodes(t *testing.T) {
	arrived := 0
	g, i := newGate(t, attempt.NewRuns(), 0, func(http.ResponseWriter, *http.Request) { arrived++ })
	g.Update()
	hinted := func(hint string) *http.Response {
		r := gateRequest(t, i.Key())
		r.Header[outcome.HeaderStatedLimit] = []string{hint}
		resp, err := g.RoundTrip(r)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		return resp
	}
	must.Eq(t, string(outcome.ReasonMalformed), hinted("x").Header.Get(outcome.HeaderReason))
	resp := hinted("0/1500")
	must.Zero(t, arrived)
	must.Eq(t, string(outcome.ReasonServerLimit), resp.Header.Get(outcome.HeaderReason))
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.SliceEmpty(t, resp.Header[outcome.HeaderReached])
	wait, given, err := forward.HeaderInt(resp.Header, outcome.HeaderLimitWait)
	must.NoError(t, err)
	must.True(t, given)
	must.Between(t, 1500, wait, 2000)
	load, err := balance.ParseLoad(resp.Header.Get(outcome.HeaderLoad))
	must.NoError(t, err)
	must.Greater(t, load.Slots, load.Used, must.Sprint("entry nodes should see no free slot"))
	must.Eq(t, 2*time.Second, load.MeanServiceTime)
}

// Guards against statements of an answer that isn't the backend server's own.
func TestOnlyTheBackendServersOwnResponsesCount(t *testing.T) {
	for verdict, counts := range map[dialect.Verdict]bool{dialect.Ran: true, dialect.Refused: true, dialect.Broken: false, dialect.Misdirected: false} {
		g, i := newGate(t, attempt.NewRuns(), 0, func(http.ResponseWriter, *http.Request) {})
		left := ""
		g.cfg.Leaving = func(key string) { left = key }
		g.cfg.Replaced = func(string) {}
		g.cfg.Dialect = &judgedDialect{statingDialect{stated: true, perSecond: 10}, verdict}
		g.Update()
		resp, err := g.RoundTrip(gateRequest(t, i.Key()))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		_, limit, _ := g.limit.Current()
		must.Eq(t, counts, limit.Stated, must.Sprint(verdict))
		must.Eq(t, counts, left == i.Key())
	}
}

// judgedDialect is a dialect with the same verdict on each response, which states that the
// backend server is shutting down.
type judgedDialect struct {
	statingDialect
	verdict dialect.Verdict
}

func (d *judgedDialect) Judge(int, dialect.Header) dialect.Verdict { return d.verdict }
func (d *judgedDialect) Leaving(dialect.Header) (bool, error)      { return true, nil }
