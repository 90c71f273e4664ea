package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/process"
)

func TestHabitPlansHaveFaultsOfBackendServersOnlyWhereAsked(t *testing.T) {
	for _, faults := range []bool{true, false} {
		seen := drawn(t, func(seed uint64) Plan {
			p := NewHabitPlan(seed, 4, time.Minute, faults)
			must.True(t, p.Habits)
			return p
		})
		must.Eq(t, faults, seen[FaultBreakOff])
		for _, f := range habitualPlanned {
			must.True(t, seen[f], must.Sprint(f, "is never drawn"))
		}
	}
}

// Guards against requests that count as sent behind others which had been answered before.
func TestRequestAfterAnAnswerStandsBehindNothing(t *testing.T) {
	from := nodeThatWrites(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	batch := []*Request{
		{ID: "a", Method: http.MethodGet, Path: "/status/a", Wait: callerWait},
		{ID: "b", Method: http.MethodGet, Path: "/status/b", Wait: callerWait, Gap: 100 * time.Millisecond},
	}
	from.exchange(batch...)
	must.Eq(t, http.StatusOK, batch[0].Status)
	must.Eq(t, 0, batch[1].Status)
	must.False(t, batch[1].Behind)
}

// Guards against a check that blames a node for answers which its caller never looked for.
func TestCallerThatWaitsNoLongerLooksForNoAnswerBehind(t *testing.T) {
	from := &caller{addr: silentNode(t)}
	batch := []*Request{
		{ID: "a", Method: http.MethodGet, Path: "/status/a", Wait: 20 * time.Millisecond},
		{ID: "b", Method: http.MethodGet, Path: "/status/b", Wait: 20 * time.Millisecond},
	}
	from.exchange(batch...)
	must.True(t, batch[0].GaveUp)
	must.True(t, batch[1].GaveUp)
}

// silentNode returns the address of a node that takes connections and says nothing.
func silentNode(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, ln.Close()) })
	return ln.Addr().String()
}

func TestCallerThatLeavesIsNoted(t *testing.T) {
	from := nodeThatWrites(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
	from.leaveAfter = 30 * time.Millisecond
	r := &Request{ID: "a", Method: http.MethodGet, Path: "/status/a", Wait: callerWait, Gap: 100 * time.Millisecond}
	from.exchange(r)
	must.Eq(t, 0, r.Status)
	must.True(t, r.Left)
}

// Guards against a bound on processor time that stops nothing, or for good.
func TestProcessesWithAShareOfACoreAreStoppedInTurn(t *testing.T) {
	s, n := bare(t)
	p, err := process.Start(s.site.cfg.Dir, n.name, "/bin/sh", "-c", "while :; do :; done")
	must.NoError(t, err)
	n.proc = p
	defer p.Kill()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		s.bound(ctx, 0.1)
		close(ended)
	}()
	for {
		s.throttled.mu.Lock()
		periods, cut := s.throttled.periods, s.throttled.cut
		s.throttled.mu.Unlock()
		if periods >= 5 && cut >= 3 {
			break
		}
		time.Sleep(quotaCheck)
	}
	used, err := processTime(p.PID())
	must.NoError(t, err)
	must.Positive(t, used)
	cancel()
	<-ended
	must.True(t, p.Terminate(time.Minute)) // it goes on
}
