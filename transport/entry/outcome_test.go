package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

func TestRefusedRequestsAreNotRun(t *testing.T) {
	cases := []struct {
		name   string
		change func(*testBed, *http.Request)
		status int
		reason outcome.Reason
	}{
		{"no organisation", func(_ *testBed, r *http.Request) { r.Host = "other" }, 404, outcome.ReasonNoOrganisation},
		{"passed deadline", func(_ *testBed, r *http.Request) { r.Header.Set(outcome.HeaderDeadline, "0") }, 504, outcome.ReasonDeadline},
		{"two deadlines", func(_ *testBed, r *http.Request) { r.Header[outcome.HeaderDeadline] = []string{"1000", "9"} }, 400, outcome.ReasonMalformed},
		{"negative deadline", func(_ *testBed, r *http.Request) { r.Header.Set(outcome.HeaderDeadline, "-1") }, 400, outcome.ReasonMalformed},
		{"loop", func(_ *testBed, r *http.Request) { r.Header.Set(outcome.HeaderHops, "16") }, 508, outcome.ReasonLoop},
		{"not ready", func(b *testBed, _ *http.Request) { b.snap.Store(nil) }, 503, outcome.ReasonNotReady},
		{"no endpoint", func(b *testBed, _ *http.Request) { b.view.Store(nil) }, 503, outcome.ReasonNoEndpoint},
		{"withdrawn", func(b *testBed, _ *http.Request) { b.registry.Withdraw() }, 503, outcome.ReasonNoEndpoint},
		{"draining", func(b *testBed, _ *http.Request) { _ = b.registry.Drain(true) }, 503, outcome.ReasonDraining},
		{"other service", func(b *testBed, _ *http.Request) {
			_ = b.registry.Announce(local.Announcement{Service: "else", Addr: "127.0.0.1:1", Slots: 1, Connections: 1})
		}, 421, outcome.ReasonWrongService},
		{"shed", func(b *testBed, _ *http.Request) {
			b.work.(*backend.Server).SetFaults(backend.Faults{ShedAll: true})
		}, 503, outcome.ReasonBackendRefused},
		{"unreachable", func(b *testBed, _ *http.Request) {
			_ = b.registry.Announce(local.Announcement{Service: "rooms", Addr: "127.0.0.1:1", Slots: 1, Connections: 1})
		}, 503, outcome.ReasonBackendRefused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBed().start(t)
			r := b.request(t, "POST", "/x", "body")
			tc.change(b, r)
			resp := b.do(t, r)
			must.Eq(t, tc.status, resp.StatusCode)
			must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
			must.Eq(t, string(tc.reason), resp.Header.Get(outcome.HeaderReason))
			seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
			must.NoError(t, err)
			must.Positive(t, seconds)
			must.Eq(t, 0, b.work.(*backend.Server).Counts().Total)
		})
	}
}

// Under overload each request is either answered and has run exactly once, or refused
// and has not run.
func TestOutcomesUnderOverloadMatchRuns(t *testing.T) {
	b := newTestBed()
	work := backend.New(backend.Config{Slots: 2, Faults: backend.Faults{ServiceMillis: 5}})
	b.work = work
	b.start(t)
	must.NoError(t, b.registry.Announce(local.Announcement{
		Service: "rooms", Addr: b.registry.Current().Addr, Slots: 3, Connections: 9,
	}))
	outcomes := make([]string, 60)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			r := b.request(t, "POST", "/x", "")
			r.Header.Set(backend.HeaderRequestID, strconv.Itoa(i))
			resp := b.do(t, r)
			outcomes[i] = resp.Header.Get(outcome.HeaderOutcome)
		})
	}
	wg.Wait()
	runs := work.Counts().ByID
	refused := 0
	for i, o := range outcomes {
		want := 1
		if o == string(outcome.NotRun) {
			want = 0
			refused++
		}
		must.Eq(t, want, runs[strconv.Itoa(i)], must.Sprintf("request %d: %s", i, o))
	}
	must.Positive(t, refused)
}

func TestDeadlineShrinksAlongTheChain(t *testing.T) {
	var deadlines, hops []int
	b := newTestBed()
	b.work = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, _ := strconv.Atoi(r.Header.Get(outcome.HeaderDeadline))
		h, _ := strconv.Atoi(r.Header.Get(outcome.HeaderHops))
		deadlines, hops = append(deadlines, d), append(hops, h)
		time.Sleep(2 * time.Millisecond) // uses up a part of the time to the deadline
		next := b.request(t, "GET", r.URL.Path, "").WithContext(r.Context())
		next.Header = r.Header.Clone() // backend servers propagate the mesh's headers
		resp, err := b.client.Do(next)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
	})
	b.start(t)
	resp := b.do(t, b.request(t, "GET", "/loop", ""))
	must.Eq(t, http.StatusLoopDetected, resp.StatusCode)
	must.Eq(t, 16, len(hops)) // the 17th hop is refused
	for i := range hops {
		must.Eq(t, i+1, hops[i])
		must.True(t, i == 0 || deadlines[i] < deadlines[i-1])
	}
}

// abortingHandler aborts the connections of its first requests without a response, as
// many as aborts was set to, and answers all later ones with 200.
type abortingHandler struct {
	aborts atomic.Int64
	runs   atomic.Int64
}

// ServeHTTP implements http.Handler.
func (b *abortingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.runs.Add(1)
	if b.aborts.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

func TestRetriesOnlySafeRequests(t *testing.T) {
	budget := &model.RetryBudget{Ratio: 1, MinPerSecond: 10}
	cases := []struct {
		name   string
		class  model.Class
		out    outcome.Outcome
		status int
		runs   int64
	}{
		{"non-repeatable", model.Class{Kind: model.KindNonRepeatable, RetryBudget: budget}, outcome.Unknown, 502, 1},
		{"repeatable", model.Class{Kind: model.KindInteractive, Repeatable: true, RetryBudget: budget}, outcome.Answered, 200, 2},
		{"no budget", model.Class{Kind: model.KindInteractive, Repeatable: true}, outcome.Unknown, 502, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBed()
			work := &abortingHandler{}
			work.aborts.Store(1)
			b.work, b.class = work, tc.class
			retrier := retry.New(retry.DefaultConfig(), 1)
			b.cfg.Retry = retrier
			b.start(t)
			b.serveBy("host-1", "host-2", "host-3")
			retrier.Update(b.snap.Load())
			resp := b.do(t, b.request(t, "POST", "/x", "body"))
			must.Eq(t, tc.status, resp.StatusCode)
			must.Eq(t, string(tc.out), resp.Header.Get(outcome.HeaderOutcome))
			must.Eq(t, tc.runs, work.runs.Load())
		})
	}
}

// A request that could not be sent goes to another host, even without a retry budget.
func TestUnreachableHostIsSkipped(t *testing.T) {
	b := newTestBed().start(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	table := endpoint.NewTable()
	for _, r := range b.view.Load().Service("rooms") {
		table.Put(r)
	}
	table.Put(endpoint.Record{Node: "gone", Service: "rooms", GateAddr: gone.Listener.Addr().String()})
	b.view.Store(table.View())
	for range 20 {
		must.Eq(t, http.StatusOK, b.do(t, b.request(t, "POST", "/x", "body")).StatusCode)
	}
}

func TestDrainFinishesRunningRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	b := newTestBed()
	b.work = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-finish
	})
	b.start(t)
	done := make(chan int)
	go func() { done <- b.do(t, b.request(t, "GET", "/x", "")).StatusCode }()
	<-started
	must.NoError(t, b.registry.Drain(true))
	refused := b.do(t, b.request(t, "GET", "/x", ""))
	close(finish)
	must.Eq(t, string(outcome.ReasonDraining), refused.Header.Get(outcome.HeaderReason))
	must.Eq(t, http.StatusOK, <-done)
}

// fakeClaims records how a claim ended.
type fakeClaims struct {
	verdict  ClaimVerdict
	dispatch bool
	ends     chan string
}

// Begin implements Claimer.
func (f *fakeClaims) Begin(context.Context, string, string, claim.Fingerprint) (Claim, ClaimVerdict) {
	return f, f.verdict
}

// Dispatch implements Claim.
func (f *fakeClaims) Dispatch() bool { return f.dispatch }

// Done implements Claim.
func (f *fakeClaims) Done(a claim.Answer) { f.ends <- fmt.Sprintf("done %d %s", a.Status, a.Body) }

// NotRun implements Claim.
func (f *fakeClaims) NotRun() { f.ends <- "not run" }

// Unknown implements Claim.
func (f *fakeClaims) Unknown() { f.ends <- "unknown" }

func TestClaims(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("booked")) })
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	refuse := &claim.Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonPlatform, RetryAfter: time.Second}
	cases := []struct {
		name   string
		claims fakeClaims
		work   http.Handler
		status int
		end    string
	}{
		{"answered", fakeClaims{dispatch: true}, handler, 200, "done 200 booked"},
		{"broken", fakeClaims{dispatch: true}, abort, 502, "unknown"},
		{"paused", fakeClaims{}, handler, 504, "not run"},
		{"platform unavailable", fakeClaims{verdict: ClaimVerdict{Refusal: refuse}}, handler, 503, ""},
		{"replayed", fakeClaims{verdict: ClaimVerdict{Replay: &claim.Answer{Status: 201}}}, handler, 201, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBed()
			tc.claims.ends = make(chan string, 2)
			b.cfg.Claim, b.work, b.class.Kind = &tc.claims, tc.work, model.KindNonRepeatable
			b.start(t)
			r := b.request(t, "POST", "/x", "body")
			r.Header.Set(outcome.HeaderIdempotencyKey, "k")
			must.Eq(t, tc.status, b.do(t, r).StatusCode)
			close(tc.claims.ends)
			must.Eq(t, tc.end, <-tc.claims.ends)
			must.Eq(t, "", <-tc.claims.ends)
		})
	}
}

// A claimed request runs to its end when its caller disconnects, so that the response
// is stored for the caller's retry.
func TestClaimedRequestOutlivesItsCaller(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	b := newTestBed()
	claims := &fakeClaims{dispatch: true, ends: make(chan string, 2)}
	b.cfg.Claim, b.class.Kind = claims, model.KindNonRepeatable
	b.work = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = w.Write([]byte("booked"))
	})
	b.start(t)
	ctx, cancel := context.WithCancel(t.Context())
	r := b.request(t, "POST", "/x", "body").WithContext(ctx)
	r.Header.Set(outcome.HeaderIdempotencyKey, "k")
	go func() {
		<-started
		cancel()
	}()
	_, err := b.client.Do(r)
	must.Error(t, err)
	close(finish)
	must.Eq(t, "done 200 booked", <-claims.ends)
}

// The routing decision for an accepted request allocates nothing.
func TestDecideAllocatesNothing(t *testing.T) {
	b := newTestBed().start(t)
	r := httptest.NewRequest("GET", "/rooms/1", nil)
	r.Host = testHost
	r.Header.Set(outcome.HeaderDeadline, "1000")
	r.Header.Set(outcome.HeaderHops, "3")
	now := time.Now()
	must.Eq(t, 0, testing.AllocsPerRun(100, func() {
		if _, refusal := b.proxy.decide(r, now); refusal != nil {
			t.Fatal(refusal)
		}
	}))
}

func TestOrganisationsAboveTheCapShareOneLabel(t *testing.T) {
	q := newRequestMetrics(newTestBed().cfg.withDefaults().Metrics, 2)
	must.Eq(t, []string{"a", "b", "other", "a"}, []string{q.label("a"), q.label("b"), q.label("c"), q.label("a")})
}
