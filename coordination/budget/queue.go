package budget

import (
	"slices"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// peerQueue holds the items that wait for one peer, oldest first.
type peerQueue struct {
	peer    model.NodeID
	items   [message.NumPriorities][]Item
	count   int
	bytes   int
	blocked bool
}

// put adds the item, or replaces the one with its key.
func (q *peerQueue) put(item Item) {
	if item.Key != "" && q.replace(item) {
		return
	}
	q.items[item.Priority] = append(q.items[item.Priority], item)
	q.count++
	q.bytes += item.size()
}

// replace reports whether the item took the place of one with its key. One of
// another priority is removed instead.
func (q *peerQueue) replace(item Item) bool {
	for p := range q.items {
		at := slices.IndexFunc(q.items[p], func(o Item) bool { return o.Key == item.Key })
		if at < 0 {
			continue
		}
		if p != int(item.Priority) {
			q.remove(message.Priority(p), at)
			return false
		}
		q.bytes += item.size() - q.items[p][at].size()
		q.items[p][at] = item
		return true
	}
	return false
}

// take removes the oldest item of the priority.
func (q *peerQueue) take(p message.Priority) Item { return q.remove(p, 0) }

// dropOldest removes the oldest item of the lowest priority that waits.
func (q *peerQueue) dropOldest() Item {
	p := message.NumPriorities - 1
	for len(q.items[p]) == 0 {
		p--
	}
	return q.remove(message.Priority(p), 0)
}

func (q *peerQueue) remove(p message.Priority, at int) Item {
	item := q.items[p][at]
	q.items[p] = slices.Delete(q.items[p], at, at+1)
	q.count--
	q.bytes -= item.size()
	return item
}
