package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

var begin = time.Unix(1_000_000, 0)

// after returns a time relative to begin.
func after(d time.Duration) time.Time { return begin.Add(d) }

// A backend server crashes with three requests in flight: their connections are lost,
// then a further connection is refused.
func TestConnectionsLostBeforeACrashAreItsEvidence(t *testing.T) {
	var w Watch
	for f := range suspect.Fingerprint(3) {
		_, known := w.RecordUnanswered(after(0), "a", f+1, ConnectionLost)
		must.False(t, known)
	}
	must.True(t, w.Unexplained("a"))
	crash, fingerprints := w.Ended(after(time.Millisecond), "a")
	must.Eq(t, []suspect.Fingerprint{1, 2, 3}, fingerprints)
	must.Eq(t, begin.Unix(), crash.At)
	must.False(t, w.Unexplained("a"))
	_, again := w.Ended(after(2*time.Millisecond), "a")
	must.Len(t, 0, again)

	late, known := w.RecordUnanswered(after(10*time.Millisecond), "a", 4, ConnectionLost)
	must.True(t, known, must.Sprint("its goroutine noticed the loss late"))
	must.Eq(t, crash, late)
}

// A lost response closes one connection while the backend server continues to run.
func TestSingleLostConnectionIsNoCrash(t *testing.T) {
	var w Watch
	w.RecordUnanswered(after(time.Second), "a", 1, ConnectionLost)
	w.Alive(after(0), "a") // a response to a request sent earlier proves nothing
	must.True(t, w.Unexplained("a"))
	w.Alive(after(time.Second), "a")
	must.False(t, w.Unexplained("a"))
	_, fingerprints := w.Ended(after(time.Minute), "a")
	must.Len(t, 0, fingerprints)
}

// A success counts for the instance that had it, and for a short time.
func TestSuccessOnTheInstanceShowsThatACrashHasAnotherCause(t *testing.T) {
	for name, c := range map[string]struct {
		instance string
		ago      time.Duration
		counts   bool
	}{
		"just before":                {"a", provenWindow, false},
		"long before":                {"a", provenWindow + time.Millisecond, true},
		"on a former instance":       {"b", time.Millisecond, true},
		"among many others, shortly": {"a", time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			var w Watch
			w.Succeeded(after(-c.ago), c.instance, 1)
			for f := range suspect.Fingerprint(maxProven) {
				w.Succeeded(after(-c.ago), c.instance, 100+f)
			}
			w.RecordUnanswered(after(0), "a", 1, ConnectionLost)
			w.RecordUnanswered(after(0), "a", 2, ConnectionLost)
			crash, fingerprints := w.Ended(after(time.Second), "a")
			must.NotEq(t, 0, crash.ID)
			must.Eq(t, c.counts, slices.Contains(fingerprints, 1))
			must.True(t, slices.Contains(fingerprints, 2))
		})
	}
}

// The requests kept as successful are bounded, whatever callers ask for.
func TestSuccessesAreKeptInBoundedMemory(t *testing.T) {
	var w Watch
	for f := range suspect.Fingerprint(100_000) {
		w.Succeeded(after(0), "a", f+1)
	}
	must.Between(t, maxProven, len(w.proven.current)+len(w.proven.former), 2*maxProven)
}

// A request that its caller has abandoned may continue to run for a limited time and
// crash the backend server.
func TestAbandonedRunIsEvidenceForALimitedTime(t *testing.T) {
	for elapsed, want := range map[time.Duration]int{abandonedWindow / 2: 1, abandonedWindow: 0} {
		var w Watch
		w.RecordUnanswered(after(0), "a", 1, Abandoned)
		must.False(t, w.Unexplained("a"))
		w.Alive(after(elapsed), "a")
		_, fingerprints := w.Ended(after(elapsed), "a")
		must.Len(t, want, fingerprints)
	}
}

// Only the runs of the instance that crashed are evidence of its crash. An instance
// that restarts under the same identifier gets evidence and a crash of its own.
func TestEachInstanceHasItsOwnEvidence(t *testing.T) {
	var w Watch
	w.RecordUnanswered(after(0), "a", 1, ConnectionLost)
	w.RecordUnanswered(after(0), "b", 2, ConnectionLost)
	_, fingerprints := w.Ended(after(0), "a")
	must.Len(t, 0, fingerprints)
	first, fingerprints := w.Ended(after(0), "b")
	must.Eq(t, []suspect.Fingerprint{2}, fingerprints)

	_, known := w.RecordUnanswered(after(time.Second), "b", 3, ConnectionLost) // restarted under the same identifier
	must.False(t, known)
	second, fingerprints := w.Ended(after(time.Second), "b")
	must.Eq(t, []suspect.Fingerprint{3}, fingerprints)
	must.NotEq(t, first.ID, second.ID)
}

func TestRequestWithoutFingerprintIsNoEvidence(t *testing.T) {
	var w Watch
	w.RecordUnanswered(after(0), "a", 0, ConnectionLost)
	_, fingerprints := w.Ended(after(0), "a")
	must.Len(t, 0, fingerprints)
}
