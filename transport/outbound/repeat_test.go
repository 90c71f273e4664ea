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

// refusing answers in place of gates whose backend servers refuse the first so many
// requests, and keeps the headers that it got.
type refusing struct {
	refuse int
	strain string
	// both, unless nil, is how many requests are waited for before any is answered.
	both *sync.WaitGroup

	mu  sync.Mutex
	got []http.Header
}

// RoundTrip implements http.RoundTripper.
func (g *refusing) RoundTrip(req *http.Request) (*http.Response, error) {
	if g.both != nil {
		g.both.Done()
		g.both.Wait()
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
	if g.strain != "" {
		h[outcome.HeaderStrain] = []string{g.strain}
	}
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody}, nil
}

// behind returns a proxy in front of such gates with so many repeats.
func behind(t *testing.T, g *refusing, repeats float64) *Proxy {
	t.Helper()
	p := newProxy(t, model.KindInteractive, 9, nil)
	p.cfg.Near, p.cfg.Far = g, g
	p.cfg.Budget = attempt.NewBudget(attempt.BudgetConfig{Slack: repeats, Window: time.Minute, Alone: 1})
	return p
}

func TestGateIsToldOfARepeat(t *testing.T) {
	g := &refusing{refuse: 1}
	must.Eq(t, http.StatusOK, ask(behind(t, g, 1)).Code)
	must.Len(t, 2, g.got)
	must.Nil(t, g.got[0][outcome.HeaderRepeat])
	must.Eq(t, []string{"1"}, g.got[1][outcome.HeaderRepeat])
}

func TestCallOfARepeatedRunIsARepeat(t *testing.T) {
	g := &refusing{refuse: 1}
	p := behind(t, g, 1)
	p.cfg.Runs.Begin(p.cfg.Now().Add(time.Second)) // when the route's timeout ends, too
	must.Eq(t, http.StatusServiceUnavailable, ask(p).Code, must.Sprint("the call took the repeat"))
	must.Eq(t, []string{"1"}, g.got[0][outcome.HeaderRepeat])
}

func TestNothingIsRepeatedWhereCallsOfRepeatedRunsTakeTheBound(t *testing.T) {
	g := &refusing{strain: "100"}
	p := behind(t, g, 1000)
	for range 100 {
		must.Eq(t, http.StatusOK, ask(p).Code)
	}
	g.got, g.refuse = nil, 1
	must.Eq(t, http.StatusServiceUnavailable, ask(p).Code)
}

// Two calls of one run are refused, and there is half of what both need: the run fails in
// any case, so that the repeat is left to another one, which is refused alone.
func TestRepeatGoesWhereItIsEnough(t *testing.T) {
	g := &refusing{refuse: 2}
	p := behind(t, g, 1)
	g.both = new(sync.WaitGroup)
	g.both.Add(2)
	var asked sync.WaitGroup
	for range 2 {
		asked.Go(func() { must.Eq(t, http.StatusServiceUnavailable, ask(p).Code) })
	}
	asked.Wait()
	g.both, g.refuse = nil, 3
	must.Eq(t, http.StatusOK, askLater(p).Code)
}

// askLater sends a request that expires at another moment.
func askLater(p *Proxy) *httptest.ResponseRecorder {
	now := p.cfg.Now().Add(time.Second)
	p.cfg.Now = func() time.Time { return now }
	return ask(p)
}
