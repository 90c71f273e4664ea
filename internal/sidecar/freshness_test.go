package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// revocation is the bound of these tests, and revocationMillis the same in milliseconds.
const (
	revocationMillis = 2000
	revocation       = revocationMillis * time.Millisecond
)

// keyed returns a configuration in which the keys hold; downloads need none.
func keyed(version string, keys ...string) []byte {
	return platformtest.KeyedConfig(version, []string{"booking"},
		[]platformtest.Organisation{{Name: "acme", Keys: keys}}, routesFree("/firmware/")...)
}

// newProvedFleet starts nodes that have to prove what they know; the store serves those at
// the beginning only.
func newProvedFleet(t *testing.T, served, turnedAway int) *fleet {
	return newProvedFleetOn(t, platformtest.NewStore(), revocationMillis, served, turnedAway)
}

// newProvedFleetOn starts them with a store and a bound in milliseconds.
func newProvedFleetOn(t *testing.T, s *platformtest.Store, millis, served, turnedAway int) *fleet {
	f := &fleet{t: t, store: s}
	f.adapt = func(s *Settings) {
		s.Revocation = RevocationSettings{RefuseUnproved: true, Millis: millis}
	}
	f.store.Put("op", "config", keyed("r1", "old", "new"))
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	// The registry is served to all, so that the nodes find each other.
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == "op" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	t.Cleanup(refusing.Close)
	for i := range served + turnedAway {
		at := store
		if i >= served {
			at = refusing
		}
		f.nodes = append(f.nodes, f.start(i, at.Listener.Addr().String()))
	}
	f.beat()
	f.knowAll()
	return f
}

// get asks a node under a key and returns the answer's status.
func (f *fleet) get(m *site, key string) int {
	resp, _ := f.do(m, "GET", "/status/x", "", "Authorization", "Bearer "+key)
	return resp.StatusCode
}

// everywhere waits until all nodes answer a key so.
func (f *fleet) everywhere(key string, status int) {
	f.t.Helper()
	f.eventually(key+" at all nodes", func() bool {
		for _, m := range f.nodes {
			if f.get(m, key) != status {
				return false
			}
		}
		return true
	})
}

func TestKeyThatWasTakenAwayIsRefusedInTimeThoughTheStoreIsAway(t *testing.T) {
	f := newProvedFleet(t, 3, 0)
	f.everywhere("old", http.StatusOK)
	f.everywhere("nobody's", http.StatusUnauthorized)
	f.store.SetDown(true)
	f.store.Put("op", "config", keyed("r2", "new"))
	time.Sleep(revocation)
	for _, m := range f.nodes {
		must.NotEq(t, http.StatusOK, f.get(m, "old"))
		resp, _ := f.do(m, "GET", "/firmware/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint("it needs no key"))
	}
	f.everywhere("new", http.StatusServiceUnavailable)
	f.store.SetDown(false)
	f.everywhere("new", http.StatusOK)
	f.everywhere("old", http.StatusUnauthorized)
	must.StrContains(t, f.nodes[0].logs.String(), "event=config_unproved")
	must.StrContains(t, f.nodes[0].logs.String(), "event=config_proved")
}

func TestNodeThatTheStoreTurnsAwayServesWithItsPeersProofs(t *testing.T) {
	f := newProvedFleet(t, 2, 2)
	f.everywhere("old", http.StatusOK)
	time.Sleep(2 * revocation) // what was proved at the start has run out
	f.everywhere("old", http.StatusOK)
	for _, m := range f.nodes[2:] {
		must.Eq(t, 0, m.node.metrics.GetOrCreateCounter(`jacinthgate_proofs_total{from="store"}`).Get())
		must.Positive(t, m.node.metrics.GetOrCreateCounter(`jacinthgate_proofs_total{from="peer"}`).Get())
	}
	f.store.Put("op", "config", keyed("r2", "new"))
	f.everywhere("old", http.StatusUnauthorized)
}

// A version that can't be used may have taken keys away: the one in force isn't current.
func TestVersionThatCantBeUsedEndsTheProof(t *testing.T) {
	f := newProvedFleet(t, 2, 0)
	f.everywhere("old", http.StatusOK)
	f.store.Put("op", "config", []byte(`{"version":"r2","routes":{"columns":["name"],"rows":[["x"]]}}`))
	time.Sleep(revocation)
	for _, m := range f.nodes {
		must.Eq(t, http.StatusServiceUnavailable, f.get(m, "old"))
		resp, _ := f.do(m, "GET", "/firmware/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	f.store.Put("op", "config", keyed("r3", "new"))
	f.everywhere("new", http.StatusOK)
	f.everywhere("old", http.StatusUnauthorized)
}

// A site that doesn't ask for proofs neither sends nor counts any, and reads no more often.
func TestWithoutTheSettingNothingIsProved(t *testing.T) {
	f := newFleet(t, 3)
	f.store.Put("op", "config", keyed("r2", "new"))
	f.everywhere("new", http.StatusOK)
	f.store.SetDown(true)
	for _, m := range f.nodes {
		must.Nil(t, m.node.loop.proving)
		must.Eq(t, feedWait, m.node.loop.proving.readWait())
		var b strings.Builder
		m.node.metrics.WritePrometheus(&b)
		must.StrNotContains(t, b.String(), `kind="freshness"`)
		must.StrNotContains(t, b.String(), "proof")
	}
}
