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

// slowHosts answers in place of gates of which each is on a slow host, and notes which
// requests might have been sent on.
type slowHosts struct {
	gates
	may []bool
}

// RoundTrip implements http.RoundTripper.
func (s *slowHosts) RoundTrip(req *http.Request) (*http.Response, error) {
	may := req.Header.Get(outcome.HeaderElsewhere) != ""
	s.may = append(s.may, may)
	s.answer = func(int) (outcome.Outcome, outcome.Reason) {
		if may {
			return outcome.NotRun, outcome.ReasonHostSlow
		}
		return outcome.Answered, ""
	}
	return s.gates.RoundTrip(req)
}

// A request is sent on from a slow host once: where all hosts are slow it is served by
// the second, and where there is one by that.
func TestRequestIsSentOnFromASlowHostOnce(t *testing.T) {
	for servers, want := range map[int][]bool{9: {true, false}, 2: {true, false}, 1: {false}} {
		s := &slowHosts{}
		p := newProxy(t, model.KindInteractive, servers, &s.gates)
		p.cfg.Near, p.cfg.Far, p.cfg.Zone = s, s, "z"
		must.Eq(t, http.StatusOK, ask(p).Code)
		must.Eq(t, want, s.may, must.Sprint(servers))
	}
}

// What can only be late looks for any room, a large answer for a link, the way into another
// zone isn't gone twice, and a body that comes as a stream can't be sent again.
func TestRequestThatGainsNothingIsNotSentOn(t *testing.T) {
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
			p.returns.Record(uint64(forward.Fingerprint(r, nil)), now.Add(-target), now.Add(time.Second))
		}
		r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		if c.body {
			r = httptest.NewRequest(http.MethodPut, "http://h/x", strings.NewReader("long"))
			r.Header.Set("Expect", "100-continue")
		}
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		must.Eq(t, http.StatusOK, w.Code)
		must.Eq(t, []bool{false}, s.may, must.Sprint(name))
	}
}

// The server that refused isn't tried in vain: it takes the request where no other can.
func TestSlowHostTakesWhatNoOtherCan(t *testing.T) {
	n, asked := 0, make(map[string]int)
	g := roundTrip(func(req *http.Request) (*http.Response, error) {
		n++
		asked[req.Header.Get(outcome.HeaderInstance)]++
		reason := outcome.ReasonQueueFull
		if n == 1 {
			reason = outcome.ReasonHostSlow
		}
		return (&gates{answer: func(int) (outcome.Outcome, outcome.Reason) { return outcome.NotRun, reason }}).RoundTrip(req)
	})
	p := newProxy(t, model.KindInteractive, 2, &gates{})
	p.cfg.Near, p.cfg.Far, p.cfg.Zone = g, g, "z"
	must.Eq(t, http.StatusServiceUnavailable, ask(p).Code)
	must.Eq(t, 3, n)
	must.MapLen(t, 2, asked)
}

// roundTrip is a function as an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
