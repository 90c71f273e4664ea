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

// Swept reports one Sweep.
type Swept struct {
	// Read is the number of records read.
	Read int
	// Deleted is the number of old records deleted.
	Deleted int
}

// Sweep reads one page of an organisation's records from a random place and
// deletes those older than RetainFor. It needs no lease: any node may call it
// at any time, since deletes are conditional. Called now and then it visits all
// records. It pauses between deletes and so may take a minute. The errors are
// those of store.Table and of ctx.
func (k *Keeper) Sweep(ctx context.Context, organisation string) (Swept, error) {
	items, err := k.page(ctx, claim.Prefix+organisation+"/", randomHash())
	if err != nil {
		return Swept{}, errors.Wrap(err, "sweep: list claims")
	}
	swept := Swept{Read: len(items)}
	old := k.expired(time.Now(), items)
	for len(old) > 0 {
		n := min(len(old), k.cfg.Batch.Max)
		_, err := k.table.Transact(ctx, old[:n])
		var refused *store.ConditionError
		if errors.As(err, &refused) {
			old = without(old, refused.Key)
			continue
		}
		if err != nil {
			return swept, errors.Wrap(err, "sweep: delete claims")
		}
		swept.Deleted += n
		old = old[n:]
		if len(old) > 0 && !pause(ctx, k.cfg.SweepPause) {
			return swept, errors.Wrap(ctx.Err(), "sweep: delete claims")
		}
	}
	return swept, nil
}

// pause waits; false when ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// page reads a page from start on. A page that meets the end goes on at the
// beginning, so that all records are visited equally often.
func (k *Keeper) page(ctx context.Context, prefix, start string) ([]store.Item, error) {
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

// expired returns the deletes of the records that may be collected. A record
// that can't be decoded is left for the operator.
func (k *Keeper) expired(now time.Time, items []store.Item) []store.Write {
	var old []store.Write
	for _, it := range items {
		r, err := claim.Decode(it.Value)
		if err == nil && r.Expired(now, k.cfg.Claim.RetainFor) {
			old = append(old, store.Write{Key: it.Key, Delete: true, IfRevision: it.Revision})
		}
	}
	return old
}

func without(writes []store.Write, key string) []store.Write {
	var rest []store.Write
	for _, w := range writes {
		if w.Key != key {
			rest = append(rest, w)
		}
	}
	return rest
}

// randomHash returns the place in an organisation's records where a page starts.
func randomHash() string {
	var b [4]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}
