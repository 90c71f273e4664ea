package outbound

import (
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// Trials allows a quarantined request to be sent now and then.
type Trials interface {
	// Take reports whether a quarantined request may be sent now, to one backend server.
	Take(suspect.Fingerprint) bool
	// Return gives that back where the request has reached no backend server.
	Return(suspect.Fingerprint)
}

// noTrials is a Trials that allows none.
type noTrials struct{}

func (noTrials) Take(suspect.Fingerprint) bool { return false }
func (noTrials) Return(suspect.Fingerprint)    {}

// mayTry reports whether a quarantined request may be sent as the trial of its quarantine. It may
// until it has reached one backend server.
func (x *exchange) mayTry() bool {
	if x.mayHaveRun() {
		return false
	}
	x.trial = x.trial || x.p.cfg.Trials.Take(x.fingerprint)
	return x.trial
}

// returnTrial gives back a trial that has reached no backend server.
func (x *exchange) returnTrial() {
	if x.trial && !x.mayHaveRun() {
		x.p.cfg.Trials.Return(x.fingerprint)
	}
}

// mayHaveRun reports whether an attempt may have reached a backend server.
func (x *exchange) mayHaveRun() bool {
	worst, _ := x.trail.Worst()
	return x.trail.Progress.Reached > 0 || worst != outcome.NotRun
}
