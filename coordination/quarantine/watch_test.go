package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

var begin = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return begin.Add(d) }

// A backend server ends with three requests under way: their connections break off,
// then one more is refused.
func TestRunsThatBrokeOffBeforeTheEndAreItsEvidence(t *testing.T) {
	var w Watch
	for f := range suspect.Fingerprint(3) {
		_, known := w.Note(after(0), "a", f+1, Broken)
		must.False(t, known)
	}
	must.True(t, w.Unexplained("a"))
	crash, fingerprints := w.Ended(after(time.Millisecond), "a")
	must.Eq(t, []suspect.Fingerprint{1, 2, 3}, fingerprints)
	must.Eq(t, begin.Unix(), crash.At)
	must.False(t, w.Unexplained("a"))
	_, again := w.Ended(after(2*time.Millisecond), "a")
	must.Len(t, 0, again)

	late, known := w.Note(after(10*time.Millisecond), "a", 4, Broken)
	must.True(t, known, must.Sprint("its goroutine has learned of it last"))
	must.Eq(t, crash, late)
}

// A lost answer breaks one connection off, and the backend server works on.
func TestRunThatBrokeOffAloneIsNoEnd(t *testing.T) {
	var w Watch
	w.Note(after(time.Second), "a", 1, Broken)
	w.Alive(after(0), "a") // the answer to a request of before tells nothing
	must.True(t, w.Unexplained("a"))
	w.Alive(after(time.Second), "a")
	must.False(t, w.Unexplained("a"))
	_, fingerprints := w.Ended(after(time.Minute), "a")
	must.Len(t, 0, fingerprints)
}

// A request whose caller has left may run on for a while and end the backend server.
func TestRunThatItsCallerHasLeftIsEvidenceForAWhile(t *testing.T) {
	for passed, want := range map[time.Duration]int{leftWindow / 2: 1, leftWindow: 0} {
		var w Watch
		w.Note(after(0), "a", 1, Left)
		must.False(t, w.Unexplained("a"))
		w.Alive(after(passed), "a")
		_, fingerprints := w.Ended(after(passed), "a")
		must.Len(t, want, fingerprints)
	}
}

// A start of the backend server answers for its own end only, under whatever
// identifier it comes.
func TestEachStartHasItsOwnEvidence(t *testing.T) {
	var w Watch
	w.Note(after(0), "a", 1, Broken)
	w.Note(after(0), "b", 2, Broken)
	_, fingerprints := w.Ended(after(0), "a")
	must.Len(t, 0, fingerprints)
	first, fingerprints := w.Ended(after(0), "b")
	must.Eq(t, []suspect.Fingerprint{2}, fingerprints)

	_, known := w.Note(after(time.Second), "b", 3, Broken) // it has returned
	must.False(t, known)
	second, fingerprints := w.Ended(after(time.Second), "b")
	must.Eq(t, []suspect.Fingerprint{3}, fingerprints)
	must.NotEq(t, first.ID, second.ID)
}

func TestRequestWithoutFingerprintIsNoEvidence(t *testing.T) {
	var w Watch
	w.Note(after(0), "a", 0, Broken)
	_, fingerprints := w.Ended(after(0), "a")
	must.Len(t, 0, fingerprints)
}
