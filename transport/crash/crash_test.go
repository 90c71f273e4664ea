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

// scene is an observer and what it tells.
type scene struct {
	*Observer
	reach     error
	looks     int
	gone      int
	leaving   bool
	view      *suspect.View
	crashes   []suspect.Crash
	evidence  []suspect.Fingerprint
	succeeded []suspect.Fingerprint
}

func newScene() *scene {
	s := new(scene)
	s.Observer = New(Config{
		Suspects: func() *suspect.View { return s.view },
		Crashed: func(c suspect.Crash, f []suspect.Fingerprint) {
			s.crashes, s.evidence = append(s.crashes, c), append(s.evidence, f...)
		},
		Succeeded: func(f suspect.Fingerprint) { s.succeeded = append(s.succeeded, f) },
		Reach: func(context.Context, string) error {
			s.looks++
			return s.reach
		},
		Gone:    func(string) { s.gone++ },
		Leaving: func(string) bool { return s.leaving },
		Crashes: metrics.NewSet().NewCounter("c"),
		Logger:  log.NewNopLogger(),
		Now:     time.Now,
	})
	return s
}

func run(f suspect.Fingerprint) Run {
	return Run{Instance: "a", Addr: "127.0.0.1:1", Fingerprint: f, Sent: time.Now()}
}

var errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// Three runs break off together, and nothing else comes that would tell.
func TestBackendServerThatRefusesConnectionsHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.reach = errRefused
		for f := range suspect.Fingerprint(3) {
			s.Broken(run(f + 1))
		}
		time.Sleep(probeDelay)
		synctest.Wait()
		must.Eq(t, []suspect.Fingerprint{1, 2, 3}, s.evidence)
		must.Len(t, 1, s.crashes)
		must.Eq(t, 1, s.looks)
		must.Eq(t, 1, s.gone)
	})
}

// The traffic finds out sooner, and one run learns of it last.
func TestRefusedConnectionTellsOfTheCrashAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.reach = errRefused
		s.Broken(run(1))
		s.Unsent(run(2), errRefused)
		must.Eq(t, []suspect.Fingerprint{1}, s.evidence)
		s.Broken(run(3))
		must.Eq(t, []suspect.Fingerprint{1, 3}, s.evidence)
		must.Eq(t, s.crashes[0], s.crashes[1])
		time.Sleep(time.Second)
		synctest.Wait()
		must.Zero(t, s.looks)
	})
}

// A lost answer or a reset connection is no crash, whoever tells that the backend
// server lives: its next answer, or the look at it.
func TestBackendServerThatLivesHasNotCrashed(t *testing.T) {
	for name, tc := range map[string]struct {
		reach error
		alive func(*scene)
	}{
		"an answer":              {errRefused, func(s *scene) { s.Answered(run(2), http.StatusInternalServerError) }},
		"a refusal":              {errRefused, func(s *scene) { s.Alive(run(2)) }},
		"the look":               {nil, func(*scene) {}},
		"a look without outcome": {context.DeadlineExceeded, func(*scene) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene()
				s.reach = tc.reach
				s.Broken(run(1))
				time.Sleep(time.Millisecond)
				tc.alive(s)
				time.Sleep(time.Second)
				synctest.Wait()
				must.Len(t, 0, s.evidence)
				must.Zero(t, s.gone)
			})
		})
	}
}

// Backend servers that reset connections when they are full break off many runs.
func TestLooksAtABackendServerAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		for range 1000 {
			s.Broken(run(1))
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		must.Between(t, 3, s.looks, 6, must.Sprint("in 5 s"))
	})
}

// A backend server may be back before anything has told of its end.
func TestStartOfTheNextOneTellsOfACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.Broken(run(1))
		s.Restarted("another")
		must.Len(t, 0, s.evidence)
		s.Restarted("a")
		must.Eq(t, []suspect.Fingerprint{1}, s.evidence)
	})
}

// A backend server that has said goodbye breaks off what is left at its end.
func TestBackendServerThatLeavesHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.leaving = true
		s.Broken(run(1))
		s.Unsent(run(2), errRefused)
		must.Len(t, 0, s.evidence)
	})
}

// Only a success shows that a request can be run: other answers may come before.
func TestSuccessOfASuspectIsTold(t *testing.T) {
	s := newScene()
	table := suspect.NewTable()
	table.Merge(time.Now(), suspect.Entry{Fingerprint: 1, Evidence: []suspect.Evidence{{Crash: suspect.Crash{ID: 1, At: time.Now().Unix()}}}})
	s.view = table.View()
	s.Answered(run(1), http.StatusRequestEntityTooLarge)
	s.Answered(run(2), http.StatusOK)
	must.Len(t, 0, s.succeeded)
	s.Answered(run(1), http.StatusOK)
	must.Eq(t, []suspect.Fingerprint{1}, s.succeeded)
}

func TestHeadTellsWhatARequestWithoutABodyAsksFor(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	f, err := Fingerprint(r)
	must.NoError(t, err)
	must.Eq(t, forward.Fingerprint(r, nil), f)

	r = httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("a body"))
	f, err = Fingerprint(r)
	must.NoError(t, err)
	must.Zero(t, f, must.Sprint("an older node doesn't tell"))
	r.Header.Set(outcome.HeaderFingerprint, "7f")
	f, err = Fingerprint(r)
	must.NoError(t, err)
	must.Eq(t, 0x7f, f)
	r.Header.Set(outcome.HeaderFingerprint, "none")
	_, err = Fingerprint(r)
	must.Error(t, err)
}
