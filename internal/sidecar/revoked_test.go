package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const (
	// shortBoundMillis is a bound that ends before operators have written again.
	shortBoundMillis = 600
	// rewriteAfter is how long after a restore operators write again.
	rewriteAfter = time.Second
)

// The store comes back as a copy in which a key still holds that had been taken away. Where
// no node had seen that version yet, the copy looks like the newest configuration.
func TestKeyThatWasTakenAwayIsRefusedThoughTheStoreCameBackWithIt(t *testing.T) {
	for name, seen := range map[string]bool{"seen": true, "not seen": false} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore()
			store.TellEra(1)
			f := newProvedFleetOn(t, store, shortBoundMillis, 3, 0)
			f.everywhere("old", http.StatusOK)
			held := store.Snapshot()
			store.SetDown(!seen)
			store.Put("op", "config", keyed("r2", "new"))
			taken := time.Now()
			if seen {
				f.everywhere("old", http.StatusUnauthorized)
			}
			f.restore(held)
			f.refusedUntil("old", taken.Add(shortBoundMillis*time.Millisecond), time.Now().Add(rewriteAfter))
			store.Put("op", "config", keyed("r2", "new"))
			f.everywhere("new", http.StatusOK)
			f.everywhere("old", http.StatusUnauthorized)
			must.True(t, f.logged("event=store_restored life=3"))
		})
	}
}

// refusedUntil asks all nodes under a key until a time; nothing may run that is sent after
// bound.
func (f *fleet) refusedUntil(key string, bound, until time.Time) {
	f.t.Helper()
	asked := 0
	for asked == 0 || time.Now().Before(until) {
		for _, m := range f.nodes {
			sent, ran := time.Now(), len(f.seen())
			status := f.get(m, key)
			if sent.Before(bound) {
				continue
			}
			asked++
			must.NotEq(f.t, http.StatusOK, status)
			must.Eq(f.t, ran, len(f.seen()))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
