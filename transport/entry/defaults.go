package entry

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// AdmitAll is an Admitter that admits every request.
type AdmitAll struct{}

// Admit implements Admitter.
func (AdmitAll) Admit(time.Time, snapshot.Match) (admit.Permit, *admit.Refusal) {
	return admit.Permit{}, nil
}

// NoClaim is a Claimer that keeps no claims. Each request is sent once, but when a
// caller retries it after an unknown outcome, it may run twice.
type NoClaim struct{}

// Begin implements Claimer.
func (NoClaim) Begin(context.Context, string, string, claim.Fingerprint) (Claim, ClaimVerdict) {
	return noClaim{}, ClaimVerdict{}
}

type noClaim struct{}

// Dispatch implements Claim.
func (noClaim) Dispatch() bool { return true }

// Done implements Claim.
func (noClaim) Done(claim.Answer) {}

// NotRun implements Claim.
func (noClaim) NotRun() {}

// Unknown implements Claim.
func (noClaim) Unknown() {}
