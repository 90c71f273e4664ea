package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// maxUnrecorded bounds the requests whose evidence waits for the store. Each quarantine has
// cost three backend servers, so that more than a few are rare.
const maxUnrecorded = 64

// crashed passes on that the host's backend server has ended.
func (n *Node) crashed(c suspect.Crash, fingerprints []suspect.Fingerprint) {
	n.loop.queue.Post(n.ctx, quarantine.Crashed{Crash: c, Fingerprints: fingerprints})
}

// succeeded passes on that a suspected request has succeeded.
func (n *Node) succeeded(f suspect.Fingerprint) {
	n.loop.queue.Post(n.ctx, quarantine.Succeeded{Fingerprint: f})
}

// quarantined tells that a request is no longer sent.
func (l *loop) quarantined(a quarantine.Quarantined) {
	_ = level.Warn(l.log).Log("event", "request_quarantined", "fingerprint", a.Entry.Fingerprint,
		"crashes", len(a.Entry.Evidence), "last_crash", a.Entry.LastCrash().UTC(), "witness", a.Witness)
}

// recordSuspect has the evidence against a request written to the store: should all nodes
// end at once, none would know it.
func (l *loop) recordSuspect(a quarantine.Record) {
	select {
	case l.unrecorded <- a.Fingerprint:
	default:
		_ = level.Warn(l.log).Log("event", "quarantine_not_recorded", "fingerprint", a.Fingerprint, "err", "too many wait")
	}
}

// recordSuspects writes evidence to the store until ctx ends.
func (n *Node) recordSuspects(ctx context.Context) error {
	return each(ctx, n.loop.unrecorded, func(f suspect.Fingerprint) { n.recordSuspect(ctx, f) })
}

// recordSuspect writes the evidence against one request, again and again while the store
// doesn't take it.
func (n *Node) recordSuspect(ctx context.Context, f suspect.Fingerprint) {
	for failures := 0; ; failures++ {
		err := n.putSuspect(ctx, f)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Warn(n.log).Log("event", "quarantine_not_recorded", "fingerprint", f, "err", err)
		select {
		case <-time.After(backoff.Doubled(aloneRetry, aloneRetryMax, failures)):
		case <-ctx.Done():
			return
		}
	}
}

// putSuspect writes the evidence as it is now.
func (n *Node) putSuspect(ctx context.Context, f suspect.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.own.suspects.Lock()
	defer n.own.suspects.Unlock()
	e, _ := eventqueue.Ask(ctx, n.loop.queue, func() *suspect.Entry {
		if e, held := n.loop.suspects.Entry(f); held {
			return &e
		}
		return nil
	})
	if e == nil {
		return ctx.Err()
	}
	return n.store.RecordSuspect(ctx, string(n.set.Node), *e)
}

// learnSuspects takes the evidence that the store holds.
func (n *Node) learnSuspects(ctx context.Context, nodes platform.Nodes) {
	if nodes.UnreadableSuspects != nil {
		_ = level.Warn(n.log).Log("event", "quarantine_unreadable", "err", nodes.UnreadableSuspects)
	}
	known := quarantine.Loaded{Own: nodes.Suspects[string(n.set.Node)]}
	for _, node := range slices.Sorted(maps.Keys(nodes.Suspects)) {
		known.Entries = append(known.Entries, nodes.Suspects[node]...)
	}
	if len(known.Entries) > 0 {
		n.loop.queue.Post(ctx, known)
	}
}
