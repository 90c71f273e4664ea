package outbound

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// slowHosts stands in for gates that are all on slow hosts, and records for each request
// whether it was marked as reroutable.
type slowHosts struct {
	gates
	reroutable []bool
}

// RoundTrip implements http.RoundTripper.
func (s *slowHosts) RoundTrip(req *http.Request) (*http.Response, error) {
	reroutable := req.Header.Get(outcome.HeaderReroutable) != ""
	s.reroutable = append(s.reroutable, reroutable)
	s.answer = func(int) (outcome.Outcome, outcome.Reason) {
		if reroutable {
			return outcome.NotRun, outcome.ReasonHostSlow
		}
		return outcome.Answered, ""
	}
	return s.gates.RoundTrip(req)
}

// A request is rerouted from a slow host only once: where all hosts are slow, the second one
// serves it, and a single one serves it at once.
func TestRequestIsReroutedFromASlowHostOnce(t *testing.T) {
	for servers, want := range map[int][]bool{9: {true, false}, 2: {true, false}, 1: {false}} {
		s := &slowHosts{}
		p := newProxy(t, model.KindInteractive, servers, &s.gates)
		p.cfg.Near, p.cfg.Far, p.cfg.Zone = s, s, "z"
		must.Eq(t, http.StatusOK, get(p).Code)
		must.Eq(t, want, s.reroutable, must.Sprint(servers))
	}
}

// A request that can only be late takes any free slot, the server for a large response is
// chosen by its link, a request into another zone would pay for the crossing twice, and a
// streamed body can't be sent again.
func TestRequestThatGainsNothingIsNotRerouted(t *testing.T) {
	for name, c := range map[string]struct {
		kind model.ClassKind
		zone model.Zone
		late bool
		body bool
	}{
		"large answer": {model.KindBulk, "z", false, false},
		"other zone":   {model.KindInteractive, "y", false, false},
		"late":         {model.KindInteractive, "z", true, false},
		"stream":       {model.KindInteractive, "z", false, true},
	} {
		s := &slowHosts{}
		p := newProxy(t, c.kind, 9, &s.gates)
		p.cfg.Near, p.cfg.Far, p.cfg.Zone = s, s, c.zone
		if c.late {
			r, now := httptest.NewRequest(http.MethodGet, "http://h/x", nil), p.cfg.Now()
			p.refusals.Record(uint64(forward.Fingerprint(r, nil)), now.Add(-target), now.Add(time.Second))
		}
		r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		if c.body {
			r = httptest.NewRequest(http.MethodPut, "http://h/x", strings.NewReader("long"))
			r.Header.Set("Expect", "100-continue")
		}
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		must.Eq(t, http.StatusOK, w.Code)
		must.Eq(t, []bool{false}, s.reroutable, must.Sprint(name))
	}
}

// The server whose slow host refused the request stays eligible and is tried again where no
// other server accepts the request.
func TestSlowHostStaysEligible(t *testing.T) {
	n, sends := 0, make(map[string]int)
	g := roundTrip(func(req *http.Request) (*http.Response, error) {
		n++
		sends[req.Header.Get(outcome.HeaderInstance)]++
		reason := outcome.ReasonQueueFull
		if n == 1 {
			reason = outcome.ReasonHostSlow
		}
		return (&gates{answer: func(int) (outcome.Outcome, outcome.Reason) { return outcome.NotRun, reason }}).RoundTrip(req)
	})
	p := newProxy(t, model.KindInteractive, 2, &gates{})
	p.cfg.Near, p.cfg.Far, p.cfg.Zone = g, g, "z"
	must.Eq(t, http.StatusServiceUnavailable, get(p).Code)
	must.Eq(t, 3, n)
	must.MapLen(t, 2, sends)
}

// roundTrip is a function that serves as http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
