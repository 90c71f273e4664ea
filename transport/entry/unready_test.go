package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// A node that is not ready refuses requests that the mesh handles, and requests with an
// idempotency key, which may be retries of requests that ran in the mesh. Only the others
// go to the older system.
func TestUnreadyNodeAndTheOlderSystem(t *testing.T) {
	b := newTestBed().start(t)
	p := b.proxy
	p.cfg.OlderAddr = "127.0.0.1:1"
	p.cfg.Ready = func() bool { return false }
	held := b.snap.Load()
	cases := []struct {
		name, path, key string
		held, older     bool
	}{
		{"nothing held", "/x", "", false, true},
		{"nothing held, with a key", "/x", "k", false, false},
		{"the mesh handles it", "/x", "", true, false},
		{"the older system handles it", "/older/a", "", true, true},
		{"the older system handled it, with a key", "/older/a", "k", true, false},
	}
	for _, c := range cases {
		b.snap.Store(nil)
		if c.held {
			b.snap.Store(held)
		}
		r := httptest.NewRequest("POST", "http://screens.example"+c.path, nil)
		if c.key != "" {
			r.Header.Set(outcome.HeaderIdempotencyKey, c.key)
		}
		pl, refusal := p.decide(r, time.Now())
		must.Eq(t, c.older, pl.older, must.Sprint(c.name))
		if !c.older {
			must.Eq(t, outcome.NotRun, refusal.Outcome, must.Sprint(c.name))
			must.Eq(t, outcome.ReasonNotReady, refusal.Reason, must.Sprint(c.name))
		}
	}
}
