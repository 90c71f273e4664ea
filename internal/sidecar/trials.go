package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// trials claims the trials of quarantined requests in the store, so that all nodes together make
// one at a time.
type trials struct {
	held *quarantine.Trials
	// wanted are the requests whose trial is to be claimed.
	wanted chan suspect.Fingerprint
}

// maxWantedTrials bounds the requests that wait for the store. A further one is claimed later.
const maxWantedTrials = 16

func newTrials() *trials {
	return &trials{held: quarantine.NewTrials(), wanted: make(chan suspect.Fingerprint, maxWantedTrials)}
}

// Take implements outbound.Trials.
func (t *trials) Take(f suspect.Fingerprint) bool {
	taken, claim := t.held.Take(time.Now(), f)
	if claim {
		select {
		case t.wanted <- f:
		default:
		}
	}
	return taken
}

// Return implements outbound.Trials.
func (t *trials) Return(f suspect.Fingerprint) { t.held.Return(f) }

// claimTrials claims trials until ctx ends.
func (n *Node) claimTrials(ctx context.Context) error {
	return each(ctx, n.trials.wanted, func(f suspect.Fingerprint) {
		if err := n.claimTrial(ctx, f); err != nil && ctx.Err() == nil {
			_ = level.Warn(n.log).Log("event", "quarantine_trial_not_claimed", "fingerprint", f, "err", err)
		}
	})
}

// claimTrial claims the next trial of a request if it is due. The first write, which assumes that
// there is no row, is told the one that the store holds.
func (n *Node) claimTrial(ctx context.Context, f suspect.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, ran := eventqueue.Ask(ctx, n.loop.queue, func() suspect.Entry {
		e, _ := n.loop.suspects.Entry(f)
		return e
	})
	if !ran || !e.Quarantined() {
		return ctx.Err()
	}
	var row platform.TrialRow
	for now := n.store.Clock(); now > 0; now = n.store.Clock() {
		next, due := quarantine.NextTrial(now, e, row.Trial)
		if now < due {
			n.trials.held.Denied(time.Now(), f, due-now)
			return nil
		}
		stored, claimed, err := n.store.ClaimTrial(ctx, f, next, row.Revision)
		if err != nil {
			return err
		}
		if claimed && next.Count == 0 {
			return nil // the wait for the first trial has begun
		}
		if claimed {
			n.trials.held.Claimed(time.Now(), f)
			_ = level.Warn(n.log).Log("event", "quarantine_trial_claimed", "fingerprint", f, "trial", next.Count)
			return nil
		}
		if stored.Unreadable != nil {
			_ = level.Warn(n.log).Log("event", "quarantine_trial_unreadable", "fingerprint", f, "err", stored.Unreadable)
		}
		row = stored
	}
	return nil
}
