package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// maxUnrecorded bounds the quarantines that wait for the store. Each has cost three
// backend servers, so that more than a few are rare.
const maxUnrecorded = 64

// crashed passes on that the host's backend server has ended.
func (n *Node) crashed(c suspect.Crash, fingerprints []suspect.Fingerprint) {
	n.loop.queue.Post(n.ctx, quarantine.Crashed{Crash: c, Fingerprints: fingerprints})
}

// succeeded passes on that a suspected request has succeeded.
func (n *Node) succeeded(f suspect.Fingerprint) {
	n.loop.queue.Post(n.ctx, quarantine.Succeeded{Fingerprint: f})
}

// quarantined tells that a request is no longer sent, and has it written to the store
// by those who saw a crash: should all nodes end at once, none would know it.
func (l *loop) quarantined(a quarantine.Quarantined) {
	_ = level.Warn(l.log).Log("event", "request_quarantined", "fingerprint", a.Entry.Fingerprint,
		"crashes", len(a.Entry.Evidence), "last_crash", a.Entry.LastCrash().UTC(), "witness", a.Witness)
	if !a.Witness {
		return
	}
	select {
	case l.unrecorded <- a.Entry:
	default:
		_ = level.Warn(l.log).Log("event", "quarantine_not_recorded", "fingerprint", a.Entry.Fingerprint, "err", "too many wait")
	}
}

// recordQuarantines writes quarantines to the store until ctx ends.
func (n *Node) recordQuarantines(ctx context.Context) error {
	return each(ctx, n.loop.unrecorded, func(e suspect.Entry) { n.recordQuarantine(ctx, e) })
}

// recordQuarantine writes one, again and again while the store doesn't take it.
func (n *Node) recordQuarantine(ctx context.Context, e suspect.Entry) {
	for failures := 0; ; failures++ {
		err := n.putQuarantine(ctx, e)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Warn(n.log).Log("event", "quarantine_not_recorded", "fingerprint", e.Fingerprint, "err", err)
		select {
		case <-time.After(backoff.Doubled(aloneRetry, aloneRetryMax, failures)):
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) putQuarantine(ctx context.Context, e suspect.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.RecordQuarantine(ctx, e.Fingerprint.String(), e.LastCrash())
}

// learnQuarantines takes what the store knows.
func (n *Node) learnQuarantines(ctx context.Context, nodes platform.Nodes) {
	var known quarantine.Loaded
	for text, at := range nodes.Quarantined {
		f, err := suspect.ParseFingerprint(text)
		if err != nil {
			_ = level.Warn(n.log).Log("event", "quarantine_unreadable", "err", err)
			continue
		}
		known.Entries = append(known.Entries, suspect.Stored(f, at))
	}
	if len(known.Entries) > 0 {
		n.loop.queue.Post(ctx, known)
	}
}
