package outbound

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// limitedGates stands in for gates whose backend servers accept a request after the given time.
type limitedGates struct {
	waitMillis int
	sends      int
	full       int // the number of the send that is refused for a full queue
	hints      []string
	answers    bool
}

// RoundTrip implements http.RoundTripper.
func (g *limitedGates) RoundTrip(req *http.Request) (*http.Response, error) {
	g.sends++
	g.hints = append(g.hints, req.Header.Get(outcome.HeaderStatedLimit))
	h := http.Header{outcome.HeaderLoad: {"1/1/0"}}
	status := http.StatusOK
	if g.answers {
		h[outcome.HeaderOutcome] = []string{string(outcome.Answered)}
	} else {
		status = http.StatusServiceUnavailable
		h[outcome.HeaderOutcome] = []string{string(outcome.NotRun)}
		h[outcome.HeaderReason] = []string{string(outcome.ReasonServerLimit)}
		h[outcome.HeaderLimitWait] = []string{strconv.Itoa(g.waitMillis)}
		if g.sends == g.full {
			h[outcome.HeaderReason] = []string{string(outcome.ReasonQueueFull)}
		}
	}
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody}, nil
}

// Guards against requests that are sent from gate to gate, and told to come back at once,
// although no backend server accepts any for a while.
func TestRequestIsRefusedAtOnceWhileAllServersAreAtTheirLimit(t *testing.T) {
	g := &limitedGates{waitMillis: 1800}
	p := newProxy(t, model.KindInteractive, 3, g)
	now := time.Now()
	p.cfg.Now = func() time.Time { return now }
	w := get(p)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, 3, g.sends, must.Sprint("each server once"))
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 1.8, after, 1.8+0.3)
	w = get(p)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, 3, g.sends, must.Sprint("none accepts one yet"))
	after, err = strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 1.8, after, 1.8+0.3)
	now = now.Add(1600 * time.Millisecond)
	g.answers = true
	must.Eq(t, http.StatusOK, get(p).Code)
}

// Guards against callers that are told to wait for a limited backend server although another one
// was only full.
func TestFullServerDecidesWhenCallersReturn(t *testing.T) {
	for full := 1; full <= 3; full++ {
		p := newProxy(t, model.KindInteractive, 3, &limitedGates{waitMillis: 1800, full: full})
		w := get(p)
		must.Eq(t, http.StatusServiceUnavailable, w.Code)
		after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		must.NoError(t, err)
		must.LessEq(t, 0.3, after)
	}
}

// A limit that allows the next request soon keeps none from queueing at the gate.
func TestServerBelowALimitIsNotHeldBack(t *testing.T) {
	g := &limitedGates{waitMillis: 200}
	p := newProxy(t, model.KindInteractive, 1, g)
	get(p)
	get(p)
	must.Eq(t, 2, g.sends)
}

// statingDialect is a dialect whose backend servers state a limit of ten a second and, if
// leaving is set, that they are shutting down.
type statingDialect struct {
	plainDialect
	stated, leaving bool
}

func (d *statingDialect) Limit(dialect.Header) (float64, bool, error) { return 10, d.stated, nil }
func (d *statingDialect) Leaving(dialect.Header) (bool, error)        { return d.leaving, nil }

// Guards against gates that have just started and aren't told of limits that this node has
// passed on.
func TestRequestsCarryTheLimitThatTheServerHasStated(t *testing.T) {
	g := &limitedGates{answers: true}
	p := newProxy(t, model.KindInteractive, 1, g)
	now := time.Now()
	p.cfg.Now = func() time.Time { return now }
	d := &statingDialect{stated: true}
	p.cfg.Dialect = d
	get(p)
	now = now.Add(1500 * time.Millisecond)
	d.stated = false
	get(p)
	get(p)
	must.Eq(t, []string{"", "10/1500", ""}, g.hints)
}

func TestLeavingServerIsReported(t *testing.T) {
	p := newProxy(t, model.KindInteractive, 1, &limitedGates{answers: true})
	p.cfg.Dialect = &statingDialect{leaving: true}
	left := ""
	p.cfg.Leaving = func(instance string) { left = instance }
	must.Eq(t, http.StatusOK, get(p).Code)
	must.Eq(t, "i0", left)
}
