package quarantine

import (
	"maps"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const (
	// trialPause is the time from the first refusal of a quarantined request to its first
	// trial. It doubles with each trial, up to maxTrialPause.
	trialPause    = 30 * time.Minute
	maxTrialPause = 12 * time.Hour
	// trialWindow is how long a claimed trial waits for a request.
	trialWindow = time.Minute
	// minClaimInterval and maxClaimInterval bound the time between two claims of a node
	// for the same request.
	minClaimInterval = time.Minute
	maxClaimInterval = time.Hour
)

// NextTrial returns the row that follows the last one of a quarantined request, and when it may be
// written. The first row, whose count is 0, begins the wait for the first trial. All times are by the
// store's clock, since those of nodes differ.
func NextTrial(now time.Duration, e suspect.Entry, last suspect.Trial) (next suspect.Trial, due time.Duration) {
	next = suspect.Trial{At: now, Crash: e.LastCounted()}
	if !last.Of(&e) || last.At > now { // of another quarantine, or of another life of the store
		return next, now
	}
	next.Count = last.Count + 1
	return next, last.At + backoff.Doubled(trialPause, maxTrialPause, last.Count)
}

// Trials holds the trials that a node has claimed for the requests of its callers. It is safe
// for concurrent use.
type Trials struct {
	mu sync.Mutex
	// claimed are the trials that this node may make, with the time until which it may.
	claimed map[suspect.Fingerprint]*claimedTrial
	// claimAt is the time of the next claim of each request that was refused here.
	claimAt map[suspect.Fingerprint]time.Time
}

// claimedTrial is a trial that this node may make.
type claimedTrial struct {
	until time.Time
	taken bool
}

// NewTrials returns the trials of a node that has claimed none.
func NewTrials() *Trials {
	return &Trials{
		claimed: make(map[suspect.Fingerprint]*claimedTrial),
		claimAt: make(map[suspect.Fingerprint]time.Time),
	}
}

// Take takes the trial of a quarantined request and reports whether there is one. If not, claim
// says whether it is time to claim one.
func (t *Trials) Take(now time.Time, f suspect.Fingerprint) (taken, claim bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.claimed[f]; c != nil && !c.taken && now.Before(c.until) {
		c.taken = true
		return true, false
	}
	if now.Before(t.claimAt[f]) {
		return false, false
	}
	t.prune(now)
	t.claimAt[f] = now.Add(minClaimInterval)
	return false, true
}

// Return gives back a trial whose request has reached no backend server.
func (t *Trials) Return(f suspect.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.claimed[f]; c != nil {
		c.taken = false
	}
}

// Claimed records that this node has claimed the trial of a request.
func (t *Trials) Claimed(now time.Time, f suspect.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claimed[f] = &claimedTrial{until: now.Add(trialWindow)}
}

// Denied records that the next trial of a request is not due for a time.
func (t *Trials) Denied(now time.Time, f suspect.Fingerprint, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claimAt[f] = now.Add(min(max(wait, minClaimInterval), maxClaimInterval))
}

// prune forgets what is over.
func (t *Trials) prune(now time.Time) {
	maps.DeleteFunc(t.claimed, func(_ suspect.Fingerprint, c *claimedTrial) bool { return !now.Before(c.until) })
	maps.DeleteFunc(t.claimAt, func(_ suspect.Fingerprint, at time.Time) bool { return !now.Before(at) })
}
