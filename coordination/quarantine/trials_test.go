package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const tried = suspect.Fingerprint(7)

// trialFleet simulates nodes whose callers ask for one quarantined request, with the
// store's row of its trials.
type trialFleet struct {
	now      time.Time
	clock    time.Duration // the store's, which has an origin of its own
	entry    suspect.Entry
	row      suspect.Trial
	revision int
	nodes    []*Trials
	// sent are the times of the trials.
	sent []time.Time
}

func newTrialFleet(nodes int) *trialFleet {
	f := &trialFleet{now: time.Unix(1_000_000, 0)}
	f.entry = suspect.Stored(tried, f.now)
	for range nodes {
		f.nodes = append(f.nodes, NewTrials())
	}
	return f
}

// claim writes the trial if the row has still a revision.
func (f *trialFleet) claim(next suspect.Trial, revision int) bool {
	if f.revision != revision {
		return false
	}
	f.row, f.revision = next, f.revision+1
	return true
}

// step plays ten seconds: each node gets a request, and those that are to claim a trial read
// the row before any of them writes.
func (f *trialFleet) step(run func()) {
	f.now = f.now.Add(10 * time.Second)
	f.clock += 10 * time.Second
	var claims []*Trials
	for _, n := range f.nodes {
		taken, claim := n.Take(f.now, tried)
		if taken {
			f.sent = append(f.sent, f.now)
			run()
		}
		if claim {
			claims = append(claims, n)
		}
	}
	row, revision := f.row, f.revision
	for _, n := range claims {
		if !f.entry.Quarantined() {
			continue
		}
		next, due := NextTrial(f.clock, f.entry, row)
		switch {
		case f.clock < due:
			n.Denied(f.now, tried, due-f.clock)
		case f.claim(next, revision) && next.Count > 0:
			n.Claimed(f.now, tried)
		}
	}
}

// crash is the end of a run that crashes its backend server.
func (f *trialFleet) crash() {
	f.entry.Add(suspect.Evidence{Crash: suspect.Crash{ID: rand.Uint64(), At: f.now.Unix()}})
}

// refute is the end of a run that succeeds.
func (f *trialFleet) refute() {
	for i := range f.entry.Evidence {
		f.entry.Evidence[i].Refuted = true
	}
}

// Guards against trials that several nodes make at once, and against pauses that don't grow.
func TestTrialsOfADeadlyRequestAreOneAtATimeWithGrowingPauses(t *testing.T) {
	f := newTrialFleet(20)
	began := f.now
	for f.now.Sub(began) < 72*time.Hour {
		f.step(f.crash)
	}
	pause := trialPause
	last := began
	for _, at := range f.sent {
		must.GreaterEq(t, pause, at.Sub(last))
		must.LessEq(t, pause+maxClaimInterval, at.Sub(last), must.Sprint("the trial should be made"))
		pause, last = min(2*pause, maxTrialPause), at
	}
	firstDay := 0
	for _, at := range f.sent {
		if at.Sub(began) <= suspect.Quarantine {
			firstDay++
		}
	}
	must.LessEq(t, 5, firstDay)
	must.LessEq(t, 5+2*2, len(f.sent), must.Sprint("a day without trials cost three backend servers"))
}

// Guards against a request that is refused for a day although nothing is wrong with it.
func TestTrialEndsAQuarantineThatNoOtherRequestCanEnd(t *testing.T) {
	f := newTrialFleet(20)
	began := f.now
	for f.now.Sub(began) < trialPause+2*time.Minute {
		f.step(f.refute)
	}
	must.False(t, f.entry.Quarantined())
	must.Len(t, 1, f.sent)
}

// The trials of a quarantine that a success has ended don't delay those of the next one.
func TestPauseBeginsAnewWithTheNextQuarantine(t *testing.T) {
	f := newTrialFleet(1)
	last := suspect.Trial{Count: 9, At: time.Hour, Crash: f.entry.LastCounted()}
	next, due := NextTrial(2*time.Hour, f.entry, last)
	must.Eq(t, 10, next.Count)
	must.Eq(t, time.Hour+maxTrialPause, due)
	f.refute()
	for range suspect.Threshold {
		f.crash()
	}
	next, due = NextTrial(2*time.Hour, f.entry, last)
	must.Eq(t, suspect.Trial{At: 2 * time.Hour, Crash: f.entry.LastCounted()}, next)
	must.Eq(t, 2*time.Hour, due)
	next, due = NextTrial(2*time.Hour, f.entry, next)
	must.Eq(t, 1, next.Count)
	must.Eq(t, 2*time.Hour+trialPause, due)
}

// Guards against a trial that is made early, or never, where the store's clock begins anew.
func TestTrialOfAnotherLifeOfTheStoreHasTheWaitBeginAnew(t *testing.T) {
	f := newTrialFleet(1)
	next, due := NextTrial(time.Minute, f.entry, suspect.Trial{Count: 3, At: time.Hour, Crash: f.entry.LastCounted()})
	must.Zero(t, next.Count)
	must.Eq(t, time.Minute, due)
}

// Guards against a trial that is lost because the request reached no backend server, and one
// that is made long after its claim.
func TestTrialIsReturnedAndExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	trials := NewTrials()
	take := func(at time.Time) bool {
		taken, _ := trials.Take(at, tried)
		return taken
	}
	must.False(t, take(now))
	trials.Claimed(now, tried)
	must.True(t, take(now))
	must.False(t, take(now), must.Sprint("one request"))
	trials.Return(tried)
	must.True(t, take(now))
	trials.Return(tried)
	must.False(t, take(now.Add(trialWindow)))
	must.False(t, take(now.Add(trialWindow)))
}

// Guards against a node that asks the store with each refused request.
func TestClaimsAreSpacedOut(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	trials := NewTrials()
	claims := 0
	for i := range 3600 {
		at := now.Add(time.Duration(i) * time.Second)
		if _, claim := trials.Take(at, tried); claim {
			claims++
			trials.Denied(at, tried, 50*time.Minute)
		}
	}
	must.LessEq(t, 2, claims)
}
