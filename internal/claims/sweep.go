package claims

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Swept is the result of one Sweep.
type Swept struct {
	// Read is the number of records read.
	Read int
	// Deleted is the number of expired records deleted.
	Deleted int
}

// Sweep reads one page of an organisation's records from a random position and
// deletes those older than RetainFor. It needs no lease: any node may call it
// at any time, since deletes are conditional. Periodic calls visit all records.
// It pauses between transactions and so may take a minute. The errors are those
// of store.Table and of ctx.
func (k *Keeper) Sweep(ctx context.Context, organisation string) (Swept, error) {
	items, err := k.readPage(ctx, claim.Prefix+organisation+"/", randomHash())
	if err != nil {
		return Swept{}, errors.Wrap(err, "sweep: list claims")
	}
	swept := Swept{Read: len(items)}
	deletes := k.expiredDeletes(time.Now(), items)
	for len(deletes) > 0 {
		n := min(len(deletes), k.cfg.Batch.Max)
		_, err := k.table.Transact(ctx, deletes[:n])
		var conflict *store.ConditionError
		if errors.As(err, &conflict) {
			deletes = without(deletes, conflict.Key)
			continue
		}
		if err != nil {
			return swept, errors.Wrap(err, "sweep: delete claims")
		}
		swept.Deleted += n
		deletes = deletes[n:]
		if len(deletes) > 0 && !sleep(ctx, k.cfg.SweepPause) {
			return swept, errors.Wrap(ctx.Err(), "sweep: delete claims")
		}
	}
	return swept, nil
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readPage reads a page of records from start on. At the end of the records it
// wraps around to the first, so that all are visited equally often.
func (k *Keeper) readPage(ctx context.Context, prefix, start string) ([]store.Item, error) {
	items, err := k.table.List(ctx, prefix, prefix+start, k.cfg.SweepPage)
	if err != nil || len(items) == k.cfg.SweepPage {
		return items, err
	}
	first, err := k.table.List(ctx, prefix, prefix, k.cfg.SweepPage-len(items))
	if err != nil {
		return nil, err
	}
	for _, it := range first {
		if it.Key <= prefix+start {
			items = append(items, it)
		}
	}
	return items, nil
}

// expiredDeletes returns the deletes of the expired records among items. A
// record that can't be decoded is left for the operator.
func (k *Keeper) expiredDeletes(now time.Time, items []store.Item) []store.Write {
	var deletes []store.Write
	for _, it := range items {
		r, err := claim.Decode(it.Value)
		if err == nil && r.Expired(now, k.cfg.Claim.RetainFor) {
			deletes = append(deletes, store.Write{Key: it.Key, Delete: true, IfRevision: it.Revision})
		}
	}
	return deletes
}

// without returns the writes except those of key.
func without(writes []store.Write, key string) []store.Write {
	var rest []store.Write
	for _, w := range writes {
		if w.Key != key {
			rest = append(rest, w)
		}
	}
	return rest
}

// randomHash returns the random position at which a page starts, as the hex
// prefix of a key's hash.
func randomHash() string {
	var b [4]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}
