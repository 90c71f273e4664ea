package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

func smallPlan() load.Plan {
	minute := model.Duration(time.Minute)
	return load.Plan{
		Seed: 3, Loop: load.LoopClosed, Workers: 4, Duration: minute, Requests: 60,
		Classes: []load.Class{
			{Organisation: "a", Name: "read", Host: "a.example", Method: "GET", Path: "/r/{n}", Spread: 9, Rate: 2, Deadline: minute},
			{Organisation: "a", Name: "book", Host: "a.example", Method: "POST", Path: "/b", Rate: 2, Body: 64, Keyed: true, Deadline: minute},
		},
	}
}

// mesh stands in for an entry proxy in front of a backend server; fault
// changes an answer.
func mesh(be *backend.Server, fault func(*http.Request, *httptest.ResponseRecorder)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := httptest.NewRecorder()
		got.Header().Set(outcome.HeaderOutcome, string(outcome.Answered))
		be.ServeHTTP(got, r)
		fault(r, got)
		if got.Code == 0 {
			panic(http.ErrAbortHandler)
		}
		for name, values := range got.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(got.Code)
		_, _ = w.Write(got.Body.Bytes())
	})
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestBreaches lets a mesh break each promise and counts what is found.
func TestBreaches(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(*http.Request, *httptest.ResponseRecorder)
		repeat float64
		want   load.Breach
	}{
		{"none", func(*http.Request, *httptest.ResponseRecorder) {}, 0, ""},
		{"honest unknown", func(_ *http.Request, a *httptest.ResponseRecorder) {
			a.Code = 502
			a.Header().Set(outcome.HeaderOutcome, string(outcome.Unknown))
		}, 0, ""},
		{"no response", func(_ *http.Request, a *httptest.ResponseRecorder) { a.Code = 0 }, 0, ""},
		{"cut", func(_ *http.Request, a *httptest.ResponseRecorder) { a.Body.Truncate(a.Body.Len() / 2) }, 0, load.BreachCut},
		{"crossed", func(r *http.Request, a *httptest.ResponseRecorder) {
			id := r.Header.Get(backend.HeaderRequestID)
			body := strings.ReplaceAll(a.Body.String(), id, "other")
			a.Body.Reset()
			a.Body.WriteString(body)
		}, 0, load.BreachCrossed},
		{"other path", func(_ *http.Request, a *httptest.ResponseRecorder) {
			body := strings.ReplaceAll(a.Body.String(), `"path":"/`, `"path":"/x/`)
			a.Body.Reset()
			a.Body.WriteString(body)
		}, 0, load.BreachCrossed},
		{"false not-run", func(_ *http.Request, a *httptest.ResponseRecorder) {
			a.Code = 503
			a.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		}, 0, load.BreachNotRunRan},
		{"no outcome", func(_ *http.Request, a *httptest.ResponseRecorder) {
			a.Header().Del(outcome.HeaderOutcome)
		}, 0, load.BreachNoOutcome},
		{"ran twice", func(*http.Request, *httptest.ResponseRecorder) {}, 1, load.BreachRanTwice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			be := backend.New(backend.Config{Slots: 100})
			direct := httptest.NewServer(be)
			defer direct.Close()
			via := httptest.NewServer(mesh(be, c.fault))
			defer via.Close()
			p := smallPlan()
			p.Classes[1].Repeats = c.repeat
			r, err := load.Run(t.Context(), p, []load.Arm{{Name: load.ArmMesh, Addresses: []string{address(via)}}})
			must.NoError(t, err)
			runs, err := load.ReadRuns(t.Context(), []string{address(direct)})
			must.NoError(t, err)
			r.CheckRuns(runs)
			must.Eq(t, c.want != "", r.Broken(), must.Sprint(r.Violations))
			if c.want != "" {
				must.MapLen(t, 1, r.Violations)
				must.Positive(t, r.Violations[c.want])
				found := r.Violations[c.want]
				r.CheckRuns(runs)
				must.Eq(t, found, r.Violations[c.want], must.Sprint("a second check counts twice"))
			}
		})
	}
}

// TestCompare sends through both arms in turn and reports the difference.
func TestCompare(t *testing.T) {
	be := backend.New(backend.Config{Slots: 100})
	direct := httptest.NewServer(be)
	defer direct.Close()
	via := httptest.NewServer(mesh(be, func(*http.Request, *httptest.ResponseRecorder) {}))
	defer via.Close()
	r, err := load.Run(t.Context(), smallPlan(), []load.Arm{
		{Name: load.ArmMesh, Addresses: []string{address(via)}},
		{Name: load.ArmDirect, Addresses: []string{address(direct)}},
	})
	must.NoError(t, err)
	must.False(t, r.Broken())
	sent := map[string]int{}
	for _, c := range r.Cells {
		sent[c.Arm] += c.Labels[load.LabelAnswered]
	}
	must.Eq(t, map[string]int{load.ArmMesh: 30, load.ArmDirect: 30}, sent)
	must.Len(t, 2, r.Differences())
	var out strings.Builder
	must.NoError(t, r.Write(&out))
	must.StrContains(t, out.String(), "not checked")
	must.NoError(t, load.WriteDifferences(&out, r.Differences()))
}

// TestRetries lets the first tries of keyed requests be refused: the caller
// repeats them at the next address with the same key and a new id.
func TestRetries(t *testing.T) {
	be := backend.New(backend.Config{Slots: 100})
	via := httptest.NewServer(mesh(be, func(*http.Request, *httptest.ResponseRecorder) {}))
	defer via.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	p := smallPlan()
	p.Classes = p.Classes[1:]
	p.Classes[0].Retries = 1
	r, err := load.Run(t.Context(), p, []load.Arm{{Name: load.ArmMesh, Addresses: []string{address(refusing), address(via)}}})
	must.NoError(t, err)
	must.Eq(t, 90, r.Cells[0].Sent)
	must.Eq(t, 60, r.Cells[0].Labels[load.LabelAnswered])
	must.Eq(t, 60, len(be.Counts().ByKey))
	must.Eq(t, 30, len(r.NotRunIDs))
}

// TestOpenLoop holds back all answers: arrivals above the requests in flight
// are counted as unsent.
func TestOpenLoop(t *testing.T) {
	release := make(chan struct{})
	var now, peak atomic.Int64
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		peak.Store(max(peak.Load(), now.Add(1)))
		defer now.Add(-1)
		<-release
		w.Header().Set(outcome.HeaderOutcome, string(outcome.Unknown))
	}))
	defer slow.Close()
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	p := smallPlan()
	p.Loop, p.Arrivals, p.InFlight = load.LoopOpen, load.ArrivalsConstant, 2
	p.Duration = model.Duration(100 * time.Millisecond)
	p.Classes[0].Rate, p.Classes[1].Rate = 50, 50
	r, err := load.Run(context.Background(), p, []load.Arm{{Name: load.ArmMesh, Addresses: []string{address(slow)}}})
	must.NoError(t, err)
	must.Eq(t, 8, r.Cells[0].Sent+r.Cells[1].Sent+r.Unsent)
	must.True(t, peak.Load() <= 2, must.Sprint(peak.Load()))
}
