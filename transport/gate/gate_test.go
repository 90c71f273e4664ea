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

// newGate returns a gate in front of a backend server with one slot that runs handler.
// queue is the queue length of its service.
func newGate(t *testing.T, queue int, handler http.HandlerFunc) *Gate {
	t.Helper()
	s := httptest.NewServer(handler)
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

// send sends a request to the gate. deadline is in milliseconds.
func send(ctx context.Context, g *Gate, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "GET", "/x", nil)
	r.Header.Set(outcome.HeaderService, "rooms")
	r.Header.Set(outcome.HeaderKind, string(model.KindInteractive))
	r.Header.Set(outcome.HeaderDeadline, deadline)
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// A queued request whose deadline passes or whose caller cancels it must be refused at once
// as not run, and must leave no slot in use.
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
			continue // until the second request is queued
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

func TestFullQueueRefuses(t *testing.T) {
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
