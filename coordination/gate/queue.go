package gate

import (
	"container/list"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fairEvery is how often the longest waiting request goes first, whatever its
// kind, so that the less important kinds are slowed down but not starved.
const fairEvery = 8

// Waiter is a request that waits for a slot.
type Waiter struct {
	// Kind is the kind of the request's class.
	Kind model.ClassKind
	// Deadline is the request's deadline.
	Deadline time.Time
	// Until is when a request that has no slot yet is better refused, so that
	// its caller can come back in time; zero is no bound. A request that would
	// wait longer by the service times seen is refused at once.
	Until time.Time
	// Settle is called once, with an empty reason when the request has a slot
	// and with the reason of the refusal otherwise. It must not block or call
	// the Gate.
	Settle func(reason outcome.Reason)

	place  *list.Element
	number uint64
}

// queue orders waiters by importance, then by arrival. It is not safe for
// concurrent use.
type queue struct {
	lists [model.NumKinds]list.List
	size  int
	next  uint64
	pops  uint64
}

func (q *queue) push(w *Waiter) {
	q.next++
	w.number = q.next
	w.place = q.lists[w.Kind.Rank()].PushBack(w)
	q.size++
}

// remove reports whether w was waiting.
func (q *queue) remove(w *Waiter) bool {
	if w.place == nil {
		return false
	}
	q.lists[w.Kind.Rank()].Remove(w.place)
	w.place = nil
	q.size--
	return true
}

// pop takes the next waiter, or nil.
func (q *queue) pop() *Waiter {
	if q.size == 0 {
		return nil
	}
	q.pops++
	w := q.first()
	if q.pops%fairEvery == 0 {
		w = q.oldest()
	}
	q.remove(w)
	return w
}

func (q *queue) first() *Waiter {
	for i := range q.lists {
		if e := q.lists[i].Front(); e != nil {
			return e.Value.(*Waiter)
		}
	}
	return nil
}

func (q *queue) oldest() *Waiter {
	var oldest *Waiter
	for i := range q.lists {
		e := q.lists[i].Front()
		if e == nil {
			continue
		}
		if w := e.Value.(*Waiter); oldest == nil || w.number < oldest.number {
			oldest = w
		}
	}
	return oldest
}

// evict takes the newest waiter of the least important kind, if that kind is
// less important than the given one.
func (q *queue) evict(kind model.ClassKind) *Waiter {
	for i := model.NumKinds - 1; i > kind.Rank(); i-- {
		if e := q.lists[i].Back(); e != nil {
			w := e.Value.(*Waiter)
			q.remove(w)
			return w
		}
	}
	return nil
}

// ahead returns the number of waiters that go before a newcomer of the kind.
func (q *queue) ahead(kind model.ClassKind) int {
	n := 0
	for i := 0; i <= kind.Rank(); i++ {
		n += q.lists[i].Len()
	}
	return n
}
