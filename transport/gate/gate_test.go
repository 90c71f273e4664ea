package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

func newGate(t *testing.T, queue int, work http.HandlerFunc) *Gate {
	t.Helper()
	s := httptest.NewServer(work)
	t.Cleanup(s.Close)
	a := local.Announcement{Service: "rooms", Addr: strings.TrimPrefix(s.URL, "http://"), Slots: 1, Connections: 1}
	g := New(Config{
		Self:         "host-1",
		Announcement: func() local.Announcement { return a },
		Service:      func(string) *model.Service { return &model.Service{QueueLength: queue} },
	})
	g.Update()
	return g
}

func send(ctx context.Context, g *Gate, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "GET", "/x", nil)
	r.Header.Set(outcome.HeaderService, "rooms")
	r.Header.Set(outcome.HeaderKind, string(model.KindInteractive))
	r.Header.Set(outcome.HeaderDeadline, deadline)
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// A request that gives up waiting is answered at once, was not run, and leaves
// no slot in use.
func TestWaitingEndsWithTheRequest(t *testing.T) {
	for _, tc := range []struct {
		deadline string
		reason   outcome.Reason
	}{{"20", outcome.ReasonDeadline}, {"60000", outcome.ReasonCancelled}} {
		entered, leave := make(chan struct{}), make(chan struct{})
		g := newGate(t, 4, func(http.ResponseWriter, *http.Request) {
			entered <- struct{}{}
			<-leave
		})
		first := make(chan *httptest.ResponseRecorder)
		go func() { first <- send(context.Background(), g, "60000") }()
		<-entered
		ctx, cancel := context.WithCancel(t.Context())
		second := make(chan *httptest.ResponseRecorder)
		go func() { second <- send(ctx, g, tc.deadline) }()
		for tc.reason == outcome.ReasonCancelled && g.Load().Queued == 0 {
			continue // until the second one waits
		}
		if tc.reason == outcome.ReasonCancelled {
			cancel()
		}
		w := <-second
		cancel()
		close(leave)
		answered := <-first
		must.Eq(t, string(outcome.NotRun), w.Header().Get(outcome.HeaderOutcome))
		must.Eq(t, string(tc.reason), w.Header().Get(outcome.HeaderReason))
		must.Eq(t, "host-1", w.Header().Get(outcome.HeaderServedBy))
		must.Eq(t, "1/1/0", w.Header().Get(outcome.HeaderLoad))
		must.Eq(t, string(outcome.Answered), answered.Header().Get(outcome.HeaderOutcome))
		must.Eq(t, core.Load{Slots: 1}, g.Load())
	}
}

func TestFullHouseRefuses(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	g := newGate(t, 0, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	})
	first := make(chan *httptest.ResponseRecorder)
	go func() { first <- send(context.Background(), g, "60000") }()
	<-entered
	w := send(t.Context(), g, "60000")
	close(leave)
	must.Eq(t, http.StatusOK, (<-first).Code)
	must.Eq(t, string(outcome.ReasonQueueFull), w.Header().Get(outcome.HeaderReason))
}
