package share

import (
	"maps"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// chains keeps, for each peer, what the last message of one direction said.
type chains[T comparable] map[model.NodeID]*chain[T]

// chain is the whole of the last message.
type chain[T comparable] struct {
	sequence uint64
	items    map[string]T
}

// shorten returns what differs from the last message to the peer: the new and
// changed items, the limits that are gone, and how far the sequence has risen
// since. That is 0 for the first message, which is whole.
func (c chains[T]) shorten(to model.NodeID, sequence uint64, items []T, limit func(T) string) (changed []T, gone []string, since uint64) {
	now := &chain[T]{sequence: sequence, items: make(map[string]T, len(items))}
	last := c[to]
	c[to] = now
	for _, item := range items {
		now.items[limit(item)] = item
	}
	if last == nil {
		return items, nil, 0
	}
	for _, item := range items {
		if before, had := last.items[limit(item)]; !had || before != item {
			changed = append(changed, item)
		}
	}
	for name := range last.items {
		if _, has := now.items[name]; !has {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return changed, gone, sequence - last.sequence
}

// restore returns the whole items of a message in order of their limits. It
// returns false for a change to a message other than the last one received.
func (c chains[T]) restore(from model.NodeID, sequence, since uint64, changed []T, gone []string, limit func(T) string) ([]T, bool) {
	last := c[from]
	if since == 0 {
		last = &chain[T]{items: make(map[string]T, len(changed))}
		c[from] = last
	} else if last == nil || last.sequence != sequence-since {
		return nil, false
	}
	last.sequence = sequence
	for _, item := range changed {
		last.items[limit(item)] = item
	}
	for _, name := range gone {
		delete(last.items, name)
	}
	items := make([]T, 0, len(last.items))
	for _, name := range slices.Sorted(maps.Keys(last.items)) {
		items = append(items, last.items[name])
	}
	return items, true
}
