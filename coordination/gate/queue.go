package gate

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Request holds the properties of a request on which a gate bases its decision.
type Request struct {
	// Work is the request's workload.
	Work model.Work
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Due is when the response should be complete; zero when not known. A request
	// that can't start in time for that is refused, so that its caller can retry
	// elsewhere and other requests aren't late as well.
	Due time.Time
	// Organisation is the organisation of the request; empty for none. When slots
	// are short, organisations share them in proportion to Weight.
	Organisation string
	// Weight is the organisation's weight, above 0.
	Weight float64
	// Reroutable reports whether the entry node can send the request to another
	// backend server at no cost but the network round trip.
	Reroutable bool
}

// Waiter is a request that waits, or may have to wait, for a slot.
type Waiter struct {
	// Request is the request.
	Request Request
	// Settle is called once, with an empty reason when the request was granted a
	// slot and with the reason of the refusal otherwise. It must not block or call
	// the Gate.
	Settle func(reason outcome.Reason)

	// latestStart is the latest start at which the request is expected to complete
	// by Due; zero without Due.
	latestStart time.Time
	// waitUntil is when the request should be refused if it has no slot yet; zero
	// for no bound.
	waitUntil time.Time
	// startTag is the start tag of fair queueing; see fairShares.
	startTag float64
	subqueue *subqueue
	element  *list.Element
	arrival  uint64
}

// before reports whether w starts before o, which has the same workload: the lower start
// tag first, that is the organisation that has used less of its share, then the earlier
// latestStart, then the earlier arrival.
func (w *Waiter) before(o *Waiter) bool {
	if w.startTag != o.startTag {
		return w.startTag < o.startTag
	}
	if w.latestStart.Equal(o.latestStart) {
		return w.arrival < o.arrival
	}
	return w.latestStart.Before(o.latestStart)
}

// overtakes reports whether w, which isn't queued yet, would start before o, which is.
func (w *Waiter) overtakes(o *Waiter) bool {
	return w.startTag < o.startTag || w.startTag == o.startTag && w.latestStart.Before(o.latestStart)
}

// subqueue holds the waiters of one workload, in the order in which they start.
type subqueue struct {
	work model.Work
	list list.List
}

func (l *subqueue) first() *Waiter { return l.list.Front().Value.(*Waiter) }
func (l *subqueue) last() *Waiter  { return l.list.Back().Value.(*Waiter) }

// oldestFirstEvery is the interval, in pops, at which the waiter that has waited
// longest is served, whatever its workload, so that less important requests are
// delayed but not starved.
const oldestFirstEvery = 8

// queue orders the waiters: the workload of the lowest sort key is served first. It
// is not safe for concurrent use.
type queue struct {
	// sortKey returns the sort key of a workload.
	sortKey     func(model.Work) float64
	subqueues   []*subqueue // the non-empty ones
	size        int
	lastArrival uint64
	pops        uint64
	shares      fairShares
}

// subqueueOf returns the subqueue of a workload; nil if it has no waiters.
func (q *queue) subqueueOf(work model.Work) *subqueue {
	for _, l := range q.subqueues {
		if l.work == work {
			return l
		}
	}
	return nil
}

// push queues a waiter and charges its organisation for it.
func (q *queue) push(w *Waiter) {
	q.lastArrival++
	w.arrival = q.lastArrival
	q.size++
	l := q.subqueueOf(w.Request.Work)
	w.startTag = q.shares.charge(w.Request.Organisation, w.Request.Weight)
	if l == nil {
		l = &subqueue{work: w.Request.Work}
		q.subqueues = append(q.subqueues, l)
	}
	w.subqueue = l
	for e := l.list.Back(); e != nil; e = e.Prev() {
		if e.Value.(*Waiter).before(w) {
			w.element = l.list.InsertAfter(w, e)
			return
		}
	}
	w.element = l.list.PushFront(w)
}

// drop removes a waiter that gets no slot, takes back the charge to its organisation, and
// reports whether it was queued.
func (q *queue) drop(w *Waiter) bool {
	if w.subqueue == nil {
		return false
	}
	q.shares.refund(w.Request.Organisation, w.Request.Weight)
	return q.remove(w)
}

// remove removes a waiter and reports whether it was queued.
func (q *queue) remove(w *Waiter) bool {
	l := w.subqueue
	if l == nil {
		return false
	}
	l.list.Remove(w.element)
	w.subqueue, w.element = nil, nil
	q.size--
	if q.size == 0 {
		q.shares.reset()
	}
	if l.list.Len() > 0 {
		return true
	}
	for i := range q.subqueues {
		if q.subqueues[i] == l {
			q.subqueues = append(q.subqueues[:i], q.subqueues[i+1:]...)
			break
		}
	}
	return true
}

// pop removes and returns the next waiter; nil if the queue is empty.
func (q *queue) pop() *Waiter {
	if q.size == 0 {
		return nil
	}
	q.pops++
	w := q.nextSubqueue().first()
	if q.pops%oldestFirstEvery == 0 {
		w = q.oldest()
		if w.Request.Organisation != "" {
			w = w.subqueue.first() // its workload is served, but in the order of its subqueue
		}
	}
	q.shares.advance(w.startTag)
	q.remove(w)
	return w
}

// nextSubqueue returns the subqueue that is served first. The queue must not be empty.
func (q *queue) nextSubqueue() *subqueue {
	best, lowestKey := q.subqueues[0], q.sortKey(q.subqueues[0].work)
	for _, l := range q.subqueues[1:] {
		if key := q.sortKey(l.work); key < lowestKey {
			best, lowestKey = l, key
		}
	}
	return best
}

// oldest returns the waiter that arrived first. The queue must not be empty.
func (q *queue) oldest() *Waiter {
	oldest := q.subqueues[0].first()
	for _, l := range q.subqueues {
		for e := l.list.Front(); e != nil; e = e.Next() {
			if w := e.Value.(*Waiter); w.arrival < oldest.arrival {
				oldest = w
			}
		}
	}
	return oldest
}

// evict removes and returns the last waiter of the subqueue that is served last, if the new
// waiter w has a workload that is served before it. Otherwise it removes and returns the
// last waiter of w's workload, if its organisation has used more of its share than w's. It
// returns nil if there is neither.
func (q *queue) evict(w *Waiter) *Waiter {
	var back *subqueue
	highestKey := q.sortKey(w.Request.Work)
	for _, l := range q.subqueues {
		if key := q.sortKey(l.work); key > highestKey {
			back, highestKey = l, key
		}
	}
	if back == nil {
		return q.evictShare(w)
	}
	last := back.last()
	q.drop(last)
	return last
}

// evictShare removes and returns the last waiter of w's workload, if its organisation has
// used more of its share than w's; otherwise it returns nil.
func (q *queue) evictShare(w *Waiter) *Waiter {
	l := q.subqueueOf(w.Request.Work)
	if l == nil || w.Request.Organisation == "" || l.last().startTag <= q.shares.startTag(w.Request.Organisation) {
		return nil
	}
	last := l.last()
	q.drop(last)
	return last
}

// countAhead returns the number of waiters that start before w, which isn't queued yet.
func (q *queue) countAhead(w *Waiter) int {
	w.startTag = q.shares.startTag(w.Request.Organisation)
	own, n := q.sortKey(w.Request.Work), 0
	for _, l := range q.subqueues {
		switch {
		case l.work == w.Request.Work:
			n += l.countAhead(w)
		case q.sortKey(l.work) <= own:
			n += l.list.Len()
		}
	}
	return n
}

// each calls f for each waiter, in the order in which the workloads are served, with the number
// of waiters that start before it.
func (q *queue) each(f func(w *Waiter, ahead int)) {
	served := slices.Clone(q.subqueues)
	slices.SortStableFunc(served, func(a, b *subqueue) int { return cmp.Compare(q.sortKey(a.work), q.sortKey(b.work)) })
	ahead := 0
	for _, l := range served {
		for e := l.list.Front(); e != nil; e = e.Next() {
			f(e.Value.(*Waiter), ahead)
			ahead++
		}
	}
}

// countAhead returns the number of waiters in the subqueue that start before w.
func (l *subqueue) countAhead(w *Waiter) int {
	n := 0
	for e := l.list.Front(); e != nil && !w.overtakes(e.Value.(*Waiter)); e = e.Next() {
		n++
	}
	return n
}
