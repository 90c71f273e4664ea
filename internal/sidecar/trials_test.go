package sidecar

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// quarantineSince has all nodes know a quarantine of GET path, and the store that it was first refused
// some time ago.
func (f *fleet) quarantineSince(ago time.Duration, path string) suspect.Fingerprint {
	f.t.Helper()
	asked := forward.Fingerprint(httptest.NewRequest(http.MethodGet, "http://"+host+path, nil), nil)
	first := f.nodes[0].node
	e := suspect.Stored(asked, time.Now())
	refused := suspect.Trial{At: first.store.Clock() - ago, Crash: e.LastCounted()}
	_, written, err := first.store.ClaimTrial(f.t.Context(), asked, refused, 0)
	must.NoError(f.t, err)
	must.True(f.t, written)
	first.loop.queue.Post(f.t.Context(), quarantine.Loaded{Entries: []suspect.Entry{e}})
	f.eventually("all nodes know the quarantine", func() bool {
		for _, m := range f.nodes {
			if !m.node.pub.suspects.Load().Quarantined(asked) {
				return false
			}
		}
		return true
	})
	return asked
}

// Guards against a request that is refused for a day after a crash with another cause, as nothing
// is sent that could show it.
func TestTrialLiftsAQuarantineThatNothingElseCan(t *testing.T) {
	f := newFleet(t, 4)
	servers := f.crashes()
	f.present(servers)
	asked := f.quarantineSince(time.Hour, "/status/popular")
	f.eventually("every node sends it again", func() bool {
		for _, m := range f.nodes {
			if resp, _ := f.do(m, "GET", "/status/popular", ""); resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	f.eventually("the store holds the refutation", func() bool { e := f.stored(asked); return !e.Quarantined() })
}

// Guards against trials that end one backend server after the other.
func TestTrialOfADeadlyRequestEndsOneBackendServer(t *testing.T) {
	f := newFleet(t, 4)
	servers := f.crashes()
	f.present(servers)
	asked := f.quarantineSince(time.Hour, "/status/deadly")
	reached := func() int {
		n := 0
		for _, c := range servers {
			n += c.runs("/status/deadly")
		}
		return n
	}
	ask := func() {
		for _, m := range f.nodes {
			f.tryTo(m, "GET", "/status/deadly", "")
		}
	}
	f.eventually("a trial is made", func() bool { ask(); return reached() > 0 })
	f.eventually("the crash counts as evidence", func() bool {
		return slices.ContainsFunc(f.nodes, func(m *site) bool { return strings.Contains(m.logs.String(), "event=backend_crashed") })
	})
	for range 50 {
		ask()
	}
	must.Eq(t, 1, reached())
	for _, m := range f.nodes {
		must.True(t, m.node.pub.suspects.Load().Quarantined(asked))
	}
}

// No trial is made before its pause is over.
func TestFreshQuarantineIsNotTried(t *testing.T) {
	f := newFleet(t, 2)
	servers := f.crashes()
	f.present(servers)
	f.quarantineSince(time.Minute, "/status/popular")
	for range 20 {
		for _, m := range f.nodes {
			resp, _ := f.do(m, "GET", "/status/popular", "")
			must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
	}
}
