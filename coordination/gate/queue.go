package gate

import (
	"container/list"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Request is what a gate needs to know of a request.
type Request struct {
	// Work is the request's sort of work.
	Work model.Work
	// Deadline is when the caller stops to wait.
	Deadline time.Time
	// Due is when the answer should be there; zero when nothing is known. A
	// request that can't start in time for that is refused, so that its caller
	// can come back elsewhere and others are not late as well.
	Due time.Time
}

// fairEvery is how often the longest waiting request goes first, whatever its
// rank, so that the less important ones are slowed down but not starved.
const fairEvery = 8

// Waiter is a request that waits for a slot.
type Waiter struct {
	// Request is what waits.
	Request Request
	// Settle is called once, with an empty reason when the request has a slot
	// and with the reason of the refusal otherwise. It must not block or call
	// the Gate.
	Settle func(reason outcome.Reason)

	// latest is when the request must start to be answered when it is due; zero
	// without such a time.
	latest time.Time
	// until is when the request is better refused; zero is no bound.
	until  time.Time
	place  *list.Element
	number uint64
}

// before reports whether w starts before o, which is of the same rank: whoever
// has less time goes first, then whoever came first. The calls of a request that
// is running are due soon, so they pass new requests, which have cost nothing yet.
func (w *Waiter) before(o *Waiter) bool {
	if w.latest.Equal(o.latest) {
		return w.number < o.number
	}
	return w.latest.Before(o.latest)
}

// queue orders waiters by rank, then by the time that they have. It is not safe
// for concurrent use.
type queue struct {
	lists [model.NumRanks]list.List
	size  int
	next  uint64
	pops  uint64
}

func (q *queue) push(w *Waiter) {
	q.next++
	w.number = q.next
	l := &q.lists[w.Request.Work.Place()]
	q.size++
	for e := l.Back(); e != nil; e = e.Prev() {
		if e.Value.(*Waiter).before(w) {
			w.place = l.InsertAfter(w, e)
			return
		}
	}
	w.place = l.PushFront(w)
}

// remove reports whether w was waiting.
func (q *queue) remove(w *Waiter) bool {
	if w.place == nil {
		return false
	}
	q.lists[w.Request.Work.Place()].Remove(w.place)
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

// oldest returns the waiter that came first.
func (q *queue) oldest() *Waiter {
	var oldest *Waiter
	for i := range q.lists {
		for e := q.lists[i].Front(); e != nil; e = e.Next() {
			if w := e.Value.(*Waiter); oldest == nil || w.number < oldest.number {
				oldest = w
			}
		}
	}
	return oldest
}

// evict takes the last waiter of the lowest rank, if that one is below the
// given one's.
func (q *queue) evict(work model.Work) *Waiter {
	for i := model.NumRanks - 1; i > work.Place(); i-- {
		if e := q.lists[i].Back(); e != nil {
			w := e.Value.(*Waiter)
			q.remove(w)
			return w
		}
	}
	return nil
}

// ahead returns the number of waiters that go before w, which may be new.
func (q *queue) ahead(w *Waiter) int {
	place, n := w.Request.Work.Place(), 0
	for i := range place {
		n += q.lists[i].Len()
	}
	for e := q.lists[place].Front(); e != nil; e = e.Next() {
		if w.latest.Before(e.Value.(*Waiter).latest) {
			break
		}
		n++
	}
	return n
}
