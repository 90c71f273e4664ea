package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/freshness"
	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
)

// ownRows is what the node has written of its own into the store, or tried to. It is safe
// for concurrent use.
type ownRows struct {
	mu      sync.Mutex
	seed    *platform.Seed
	drained string
	// suspects serialises the writes of evidence, so that none replaces a newer one.
	suspects sync.Mutex
}

// registered notes that the node's address stands in the store.
func (o *ownRows) registered(s platform.Seed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seed = &s
}

// left notes which instance beside the node had left before its start, and reports whether none that
// has left later is known.
func (o *ownRows) left(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drained == "" {
		o.drained = key
	}
	return o.drained == key
}

// leaving notes which instance beside the node is leaving.
func (o *ownRows) leaving(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drained = key
}

// restored tells the other cores that the store has come back from an older copy.
func (l *loop) restored(now time.Time, a restore.Restored) {
	_ = level.Warn(l.log).Log("event", "store_restored", "life", a.Epoch)
	l.metrics.GetOrCreateCounter("jacinthgate_store_restored_total").Inc()
	l.carryOut(now, l.rollouts.Step(now, a))
}

// meet tells a life of the store that its client knows.
func (l *loop) meet(now time.Time, life uint64) {
	l.prove(freshness.EpochSeen{Epoch: life})
	l.carryOut(now, l.lives.Step(now, restore.EpochSeen{Epoch: life}))
}

// writeAgain hands on that the own rows are to be written; only the newest word counts.
func (l *loop) writeAgain(a restore.RewriteRows) {
	select {
	case <-l.rewrites:
	default:
	}
	l.rewrites <- a.Epoch
}

// recordOwn writes the own rows again whenever the store has come back, until ctx ends.
func (n *Node) recordOwn(ctx context.Context) error {
	return each(ctx, n.loop.rewrites, func(life uint64) { n.recordOwnIn(ctx, life) })
}

// recordOwnIn writes them, again and again while the store doesn't take them. It ends early
// where the store has come back once more.
func (n *Node) recordOwnIn(ctx context.Context, life uint64) {
	for failures := 0; len(n.loop.rewrites) == 0; failures++ {
		own, err := n.putOwn(ctx)
		if err == nil && own.Rows() == 0 {
			return
		}
		if err == nil {
			n.metrics.GetOrCreateCounter("jacinthgate_store_rows_written_again_total").Add(own.Rows())
			_ = level.Info(n.log).Log("event", "own_rows_written_again", "life", life, "registered", own.Seed != nil,
				"drained", own.Drained, "quarantined", len(own.Suspects))
			return
		}
		_ = level.Warn(n.log).Log("event", "own_rows_not_written", "life", life, "err", err)
		select {
		case <-time.After(backoff.Doubled(aloneRetry, aloneRetryMax, failures)):
		case <-ctx.Done():
			return
		}
	}
}

// putOwn writes the own rows as they are now and returns them.
func (n *Node) putOwn(ctx context.Context) (platform.Own, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.own.suspects.Lock()
	defer n.own.suspects.Unlock()
	own := platform.Own{Node: string(n.set.Node)}
	recorded, ran := eventqueue.Ask(ctx, n.loop.queue, n.loop.suspects.Recorded)
	if !ran {
		return own, ctx.Err()
	}
	own.Suspects = recorded
	n.own.mu.Lock()
	own.Seed, own.Drained = n.own.seed, n.own.drained
	n.own.mu.Unlock()
	return own, n.store.RecordOwn(ctx, own)
}

// recordDrain writes which instance beside the node is leaving. If the store doesn't take it,
// recordDrains goes on trying.
func (n *Node) recordDrain(ctx context.Context, node, instance string) error {
	n.own.leaving(instance)
	err := n.store.RecordDrain(ctx, node, instance)
	if err != nil {
		n.recordDrainLater()
	}
	return err
}

// storeDeparture writes that an instance had left before this node's start, of which a peer has told
// it: the peers forget it when they end.
func (n *Node) storeDeparture(instance string) {
	if n.own.left(instance) {
		n.recordDrainLater()
	}
}

// recordDrainLater lets recordDrains write the last drain.
func (n *Node) recordDrainLater() {
	select {
	case n.undrained <- struct{}{}:
	default: // recordDrains is about to write the newest one
	}
}

// recordDrains writes the last drain that the store has not taken, until ctx ends.
func (n *Node) recordDrains(ctx context.Context) error {
	return each(ctx, n.undrained, func(struct{}) { n.recordLastDrain(ctx) })
}

// recordLastDrain writes the last drain, again and again while the store doesn't take it.
func (n *Node) recordLastDrain(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		n.own.mu.Lock()
		instance := n.own.drained
		n.own.mu.Unlock()
		if n.putDrain(ctx, instance) == nil {
			n.backends.keptInStore(instance)
			_ = level.Info(n.log).Log("event", "drain_recorded_late", "instance", instance, "failures", failures)
			return
		}
		select {
		case <-time.After(backoff.Doubled(drainRetry, aloneRetryMax, failures)):
		case <-ctx.Done():
		}
	}
}

// drainRetry is the delay before the second attempt to write a drain. The node may end soon after
// the goodbye, and its peers with it.
const drainRetry = 250 * time.Millisecond

func (n *Node) putDrain(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.RecordDrain(ctx, string(n.set.Node), instance)
}
