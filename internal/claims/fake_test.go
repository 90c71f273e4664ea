package claims_test

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// fault is an injected fault of a call.
type fault int

const (
	none         fault = iota
	responseLost       // the write takes effect, its response is lost
	requestLost        // the write takes no effect; the caller gets an unknown outcome
	rejected           // the write takes no effect; the caller gets an error that says so
)

// table is an in-memory table service with injected faults.
type table struct {
	mu        sync.Mutex
	items     map[string]store.Item
	latency   time.Duration
	next      []fault // faults of the next writes
	down      bool
	changed   string // the key of an item that changes right before it is deleted
	transacts int
	writes    int
	reads     int
}

func newTable() *table {
	return &table{items: map[string]store.Item{}, latency: 5 * time.Millisecond}
}

func (t *table) set(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

func (t *table) Get(_ context.Context, key string) (store.Item, error) {
	time.Sleep(t.latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return store.Item{}, &store.UnavailableError{Op: "get", Err: context.DeadlineExceeded}
	}
	return t.items[key], nil
}

func (t *table) List(_ context.Context, prefix, after string, limit int) ([]store.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []store.Item
	for key, it := range t.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (t *table) Transact(_ context.Context, writes []store.Write) ([]uint64, error) {
	time.Sleep(t.latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transacts++
	f := t.fault()
	switch f {
	case rejected:
		return nil, &store.UnavailableError{Op: "transact", Err: context.DeadlineExceeded}
	case requestLost:
		return nil, &store.UnknownError{Op: "transact", Err: context.DeadlineExceeded}
	}
	for _, w := range writes {
		if w.Delete && w.Key == t.changed {
			it := t.items[w.Key]
			it.Revision++
			t.items[w.Key], t.changed = it, ""
		}
		if it := t.items[w.Key]; it.Revision != w.IfRevision {
			return nil, &store.ConditionError{Key: w.Key, Current: it}
		}
	}
	revisions := t.apply(writes)
	if f == responseLost {
		return nil, &store.UnknownError{Op: "transact", Err: context.DeadlineExceeded}
	}
	return revisions, nil
}

func (t *table) fault() fault {
	if t.down {
		return rejected
	}
	if len(t.next) == 0 {
		return none
	}
	f := t.next[0]
	t.next = slices.Delete(t.next, 0, 1)
	return f
}

func (t *table) apply(writes []store.Write) []uint64 {
	var revisions []uint64
	for _, w := range writes {
		t.writes++
		it := store.Item{Key: w.Key, Value: w.Value, Revision: w.IfRevision + 1}
		t.items[w.Key] = it
		if w.Delete {
			delete(t.items, w.Key)
		}
		revisions = append(revisions, it.Revision)
	}
	return revisions
}
