package crash

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// fixture is an observer that records the calls of its callbacks.
type fixture struct {
	*Observer
	reachErr    error
	probes      int
	unreachable int
	leaving     bool
	view        *suspect.View
	crashes     []suspect.Crash
	evidence    []suspect.Fingerprint
	succeeded   []suspect.Fingerprint
}

// newFixture returns a fixture whose probes return reachErr.
func newFixture() *fixture {
	s := new(fixture)
	s.Observer = New(Config{
		Suspects: func() *suspect.View { return s.view },
		Crashed: func(c suspect.Crash, f []suspect.Fingerprint) {
			s.crashes, s.evidence = append(s.crashes, c), append(s.evidence, f...)
		},
		Succeeded: func(f suspect.Fingerprint) { s.succeeded = append(s.succeeded, f) },
		Reach: func(context.Context, string) error {
			s.probes++
			return s.reachErr
		},
		Unreachable: func(string) { s.unreachable++ },
		Leaving:     func(string) bool { return s.leaving },
		Crashes:     metrics.NewSet().NewCounter("c"),
		Logger:      log.NewNopLogger(),
		Now:         time.Now,
	})
	return s
}

// run returns a run of the instance "a" that was sent now.
func run(f suspect.Fingerprint) Run {
	return Run{Instance: "a", Addr: "127.0.0.1:1", Fingerprint: f, Sent: time.Now()}
}

var errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// Three runs lose their connections at the same time, and no other request follows that
// would reveal the crash. The probe must.
func TestBackendServerThatRefusesConnectionsHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.reachErr = errRefused
		for f := range suspect.Fingerprint(3) {
			s.ConnectionLost(run(f + 1))
		}
		time.Sleep(probeDelay)
		synctest.Wait()
		must.Eq(t, []suspect.Fingerprint{1, 2, 3}, s.evidence)
		must.Len(t, 1, s.crashes)
		must.Eq(t, 1, s.probes)
		must.Eq(t, 1, s.unreachable)
	})
}

// A refused connection of another request reveals the crash before the probe. A run that
// loses its connection shortly afterwards belongs to the same crash.
func TestRefusedConnectionReportsTheCrashAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.reachErr = errRefused
		s.ConnectionLost(run(1))
		s.Unsent(run(2), errRefused)
		must.Eq(t, []suspect.Fingerprint{1}, s.evidence)
		s.ConnectionLost(run(3))
		must.Eq(t, []suspect.Fingerprint{1, 3}, s.evidence)
		must.Eq(t, s.crashes[0], s.crashes[1])
		time.Sleep(time.Second)
		synctest.Wait()
		must.Zero(t, s.probes)
	})
}

// A lost response or a reset connection is no crash if the backend server responds to
// another request or accepts the connection of the probe afterwards.
func TestBackendServerThatLivesHasNotCrashed(t *testing.T) {
	for name, tc := range map[string]struct {
		reachErr error
		alive    func(*fixture)
	}{
		"an answer":              {errRefused, func(s *fixture) { s.Answered(run(2), http.StatusInternalServerError) }},
		"a refusal":              {errRefused, func(s *fixture) { s.Alive(run(2)) }},
		"the probe":              {nil, func(*fixture) {}},
		"a probe without result": {context.DeadlineExceeded, func(*fixture) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture()
				s.reachErr = tc.reachErr
				s.ConnectionLost(run(1))
				time.Sleep(time.Millisecond)
				tc.alive(s)
				time.Sleep(time.Second)
				synctest.Wait()
				must.Len(t, 0, s.evidence)
				must.Zero(t, s.unreachable)
			})
		})
	}
}

// Backend servers that reset connections when they are full end many runs with a lost
// connection. They must not cause a probe each.
func TestProbesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		for range 1000 {
			s.ConnectionLost(run(1))
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		must.Between(t, 3, s.probes, 6, must.Sprint("probes in 5 s"))
	})
}

// A new instance of the backend server may register before anything has revealed the end of
// the old one.
func TestNewInstanceRevealsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.ConnectionLost(run(1))
		s.Restarted("another")
		must.Len(t, 0, s.evidence)
		s.Restarted("a")
		must.Eq(t, []suspect.Fingerprint{1}, s.evidence)
	})
}

// A backend server that has sent its goodbye closes the connections of the runs that are
// left when it stops. This is no crash.
func TestBackendServerThatLeavesHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture()
		s.leaving = true
		s.ConnectionLost(run(1))
		s.Unsent(run(2), errRefused)
		must.Len(t, 0, s.evidence)
	})
}

// Guards against a popular request that is refused because backend servers, at each of
// which it is in flight, crash together.
func TestRequestThatTheInstanceJustRanIsNoEvidence(t *testing.T) {
	s := newFixture()
	s.Answered(run(1), http.StatusOK)
	s.Answered(run(2), http.StatusServiceUnavailable)
	for f := range suspect.Fingerprint(3) {
		s.ConnectionLost(run(f + 1))
	}
	s.Unsent(run(4), errRefused)
	must.Eq(t, []suspect.Fingerprint{2, 3}, s.evidence)
	s.ConnectionLost(run(1))
	must.Eq(t, []suspect.Fingerprint{2, 3}, s.evidence, must.Sprint("noticed late"))
	must.Len(t, 1, s.crashes)
}

// Only a success shows that the request can be run: any other status may be sent before the
// run.
func TestSuccessOfASuspectIsReported(t *testing.T) {
	s := newFixture()
	table := suspect.NewTable()
	table.Merge(time.Now(), suspect.Entry{Fingerprint: 1, Evidence: []suspect.Evidence{{Crash: suspect.Crash{ID: 1, At: time.Now().Unix()}}}})
	s.view = table.View()
	s.Answered(run(1), http.StatusRequestEntityTooLarge)
	s.Answered(run(2), http.StatusOK)
	must.Len(t, 0, s.succeeded)
	s.Answered(run(1), http.StatusOK)
	must.Eq(t, []suspect.Fingerprint{1}, s.succeeded)
}

func TestFingerprintOfARequestWithoutBodyIsComputedFromItsHead(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	f, err := Fingerprint(r)
	must.NoError(t, err)
	must.Eq(t, forward.Fingerprint(r, nil), f)

	r = httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("a body"))
	f, err = Fingerprint(r)
	must.NoError(t, err)
	must.Zero(t, f, must.Sprint("an older node sends no fingerprint"))
	r.Header.Set(outcome.HeaderFingerprint, "7f")
	f, err = Fingerprint(r)
	must.NoError(t, err)
	must.Eq(t, 0x7f, f)
	r.Header.Set(outcome.HeaderFingerprint, "none")
	_, err = Fingerprint(r)
	must.Error(t, err)
}
