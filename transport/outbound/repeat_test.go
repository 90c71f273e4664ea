package outbound

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// refusing stands in for gates whose backend servers refuse the first requests, and records
// the headers that it receives.
type refusing struct {
	refuse int    // number of requests to refuse
	usage  string // value of the budget usage header; empty for none
	// barrier, unless nil, holds the responses back until that many requests have arrived.
	barrier *sync.WaitGroup

	mu  sync.Mutex
	got []http.Header
}

// RoundTrip implements http.RoundTripper.
func (g *refusing) RoundTrip(req *http.Request) (*http.Response, error) {
	if g.barrier != nil {
		g.barrier.Done()
		g.barrier.Wait()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.got = append(g.got, req.Header)
	h := http.Header{outcome.HeaderOutcome: {string(outcome.Answered)}, outcome.HeaderReached: {"1"}}
	status := http.StatusOK
	if len(g.got) <= g.refuse {
		h[outcome.HeaderOutcome] = []string{string(outcome.NotRun)}
		h[outcome.HeaderReason] = []string{string(outcome.ReasonBackendRefused)}
		status = http.StatusServiceUnavailable
	}
	if g.usage != "" {
		h[outcome.HeaderBudgetUsage] = []string{g.usage}
	}
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody}, nil
}

// proxyWithBudget returns a proxy in front of g whose retry budget allows that many repeats.
func proxyWithBudget(t *testing.T, g *refusing, repeats float64) *Proxy {
	t.Helper()
	p := newProxy(t, model.KindInteractive, 9, nil)
	p.cfg.Near, p.cfg.Far = g, g
	p.cfg.Budget = attempt.NewBudget(attempt.BudgetConfig{Slack: repeats, Window: time.Minute, Alone: 1})
	return p
}

func TestRepeatIsMarkedForTheGate(t *testing.T) {
	g := &refusing{refuse: 1}
	must.Eq(t, http.StatusOK, get(proxyWithBudget(t, g, 1)).Code)
	must.Len(t, 2, g.got)
	must.Nil(t, g.got[0][outcome.HeaderRepeat])
	must.Eq(t, []string{"1"}, g.got[1][outcome.HeaderRepeat])
}

func TestNestedCallOfARetryIsARepeat(t *testing.T) {
	g := &refusing{refuse: 1}
	p := proxyWithBudget(t, g, 1)
	p.cfg.Runs.Begin(p.cfg.Now().Add(time.Second)) // equals the deadline by the route's timeout
	must.Eq(t, http.StatusServiceUnavailable, get(p).Code, must.Sprint("the nested call itself should have used up the budget"))
	must.Eq(t, []string{"1"}, g.got[0][outcome.HeaderRepeat])
}

func TestNoRepeatWhereNestedCallsUseUpTheBudget(t *testing.T) {
	g := &refusing{usage: "100"}
	p := proxyWithBudget(t, g, 1000)
	for range 100 {
		must.Eq(t, http.StatusOK, get(p).Code)
	}
	g.got, g.refuse = nil, 1
	must.Eq(t, http.StatusServiceUnavailable, get(p).Code)
}

// Two calls of one run are refused, and the budget has a repeat for only one of them: the run
// fails in any case, so the repeat is saved for another run whose only refused call it is.
func TestRepeatGoesWhereItSuffices(t *testing.T) {
	g := &refusing{refuse: 2}
	p := proxyWithBudget(t, g, 1)
	g.barrier = new(sync.WaitGroup)
	g.barrier.Add(2)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() { must.Eq(t, http.StatusServiceUnavailable, get(p).Code) })
	}
	calls.Wait()
	g.barrier, g.refuse = nil, 3
	must.Eq(t, http.StatusOK, getLater(p).Code)
}

// getLater sends a request with another deadline, which thus belongs to another run.
func getLater(p *Proxy) *httptest.ResponseRecorder {
	now := p.cfg.Now().Add(time.Second)
	p.cfg.Now = func() time.Time { return now }
	return get(p)
}
