package share

import (
	"maps"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// deltaChains holds, for each peer, the content of the last message in one
// direction.
type deltaChains[T comparable] map[model.NodeID]*deltaChain[T]

// deltaChain is the full content of the last message, the base of the next
// delta.
type deltaChain[T comparable] struct {
	sequence uint64
	items    map[string]T
}

// encode returns the difference from the last message to the peer: the new and
// changed items, the limits that were removed, and the increase of the
// sequence since that message. The increase is 0 for the first message, which
// is full.
func (c deltaChains[T]) encode(to model.NodeID, sequence uint64, items []T, limit func(T) string) (changed []T, removed []string, since uint64) {
	current := &deltaChain[T]{sequence: sequence, items: make(map[string]T, len(items))}
	last := c[to]
	c[to] = current
	for _, item := range items {
		current.items[limit(item)] = item
	}
	if last == nil {
		return items, nil, 0
	}
	for _, item := range items {
		if before, existed := last.items[limit(item)]; !existed || before != item {
			changed = append(changed, item)
		}
	}
	for name := range last.items {
		if _, exists := current.items[name]; !exists {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed, sequence - last.sequence
}

// decode returns the full items of a message, sorted by limit. It returns
// false for a delta whose base is not the last message received.
func (c deltaChains[T]) decode(from model.NodeID, sequence, since uint64, changed []T, removed []string, limit func(T) string) ([]T, bool) {
	last := c[from]
	if since == 0 {
		last = &deltaChain[T]{items: make(map[string]T, len(changed))}
		c[from] = last
	} else if last == nil || last.sequence != sequence-since {
		return nil, false
	}
	last.sequence = sequence
	for _, item := range changed {
		last.items[limit(item)] = item
	}
	for _, name := range removed {
		delete(last.items, name)
	}
	items := make([]T, 0, len(last.items))
	for _, name := range slices.Sorted(maps.Keys(last.items)) {
		items = append(items, last.items[name])
	}
	return items, true
}
