package budget

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// peerQueue holds the items queued for one peer, oldest first within each priority.
type peerQueue struct {
	peer    model.NodeID
	items   [message.NumPriorities][]Item
	count   int
	bytes   int
	blocked bool
}

// put adds the item, or replaces a queued item with the same key.
func (q *peerQueue) put(item Item) {
	if item.Key != "" && q.replace(item) {
		return
	}
	q.items[item.Priority] = append(q.items[item.Priority], item)
	q.count++
	q.bytes += item.size()
}

// replace replaces a queued item with the same key and priority and reports whether it did. It
// removes an item with the same key and another priority.
func (q *peerQueue) replace(item Item) bool {
	for p := range q.items {
		index := slices.IndexFunc(q.items[p], func(o Item) bool { return o.Key == item.Key })
		if index < 0 {
			continue
		}
		if p != int(item.Priority) {
			q.remove(message.Priority(p), index)
			return false
		}
		q.bytes += item.size() - q.items[p][index].size()
		q.items[p][index] = item
		return true
	}
	return false
}

// take removes and returns the oldest item of the priority.
func (q *peerQueue) take(p message.Priority) Item { return q.remove(p, 0) }

// dropOldest removes and returns the oldest item of the lowest priority in the queue.
func (q *peerQueue) dropOldest() Item {
	p := message.NumPriorities - 1
	for len(q.items[p]) == 0 {
		p--
	}
	return q.remove(message.Priority(p), 0)
}

func (q *peerQueue) remove(p message.Priority, index int) Item {
	item := q.items[p][index]
	q.items[p] = slices.Delete(q.items[p], index, index+1)
	q.count--
	q.bytes -= item.size()
	return item
}
