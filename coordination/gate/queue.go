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
	// Organisation is whose request it is; empty for nobody's. Slots that are short are
	// shared by organisation, in proportion to Weight.
	Organisation string
	// Weight is the organisation's, above 0.
	Weight float64
	// Elsewhere says that its entry node can send it to another backend server, at no
	// cost but the way.
	Elsewhere bool
}

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
	until time.Time
	// tag orders the waiters of organisations; see fairShares.
	tag    float64
	line   *line
	place  *list.Element
	number uint64
}

// before reports whether w starts before o, which is of the same sort: whose
// organisation has had less of its share, then whoever has less time, then whoever came
// first.
func (w *Waiter) before(o *Waiter) bool {
	if w.tag != o.tag {
		return w.tag < o.tag
	}
	if w.latest.Equal(o.latest) {
		return w.number < o.number
	}
	return w.latest.Before(o.latest)
}

// ahead reports whether w, which is new, goes before o, which waits.
func (w *Waiter) ahead(o *Waiter) bool {
	return w.tag < o.tag || w.tag == o.tag && w.latest.Before(o.latest)
}

// line is the waiters of one sort of work, in the order in which they start.
type line struct {
	work model.Work
	list list.List
}

func (l *line) first() *Waiter { return l.list.Front().Value.(*Waiter) }
func (l *line) last() *Waiter  { return l.list.Back().Value.(*Waiter) }

// fairEvery is how often the longest waiting request goes first, whatever its
// sort, so that the less important ones are slowed down but not starved.
const fairEvery = 8

// queue orders the waiters: the sort of the least weight goes first. It is not
// safe for concurrent use.
type queue struct {
	// weight is how much later than others a sort of work goes.
	weight func(model.Work) float64
	lines  []*line // those with waiters
	size   int
	next   uint64
	pops   uint64
	shares fairShares
}

// lineOf returns the line of a sort; nil where nobody waits in it.
func (q *queue) lineOf(work model.Work) *line {
	for _, l := range q.lines {
		if l.work == work {
			return l
		}
	}
	return nil
}

func (q *queue) push(w *Waiter) {
	q.next++
	w.number = q.next
	q.size++
	l := q.lineOf(w.Request.Work)
	w.tag = q.shares.start(w.Request.Organisation, w.Request.Weight)
	if l == nil {
		l = &line{work: w.Request.Work}
		q.lines = append(q.lines, l)
	}
	w.line = l
	for e := l.list.Back(); e != nil; e = e.Prev() {
		if e.Value.(*Waiter).before(w) {
			w.place = l.list.InsertAfter(w, e)
			return
		}
	}
	w.place = l.list.PushFront(w)
}

// drop takes out a waiter that gets no slot, and reports whether it was waiting.
func (q *queue) drop(w *Waiter) bool {
	if w.line == nil {
		return false
	}
	q.shares.dropped(w.Request.Organisation, w.Request.Weight)
	return q.remove(w)
}

// remove reports whether w was waiting.
func (q *queue) remove(w *Waiter) bool {
	l := w.line
	if l == nil {
		return false
	}
	l.list.Remove(w.place)
	w.line, w.place = nil, nil
	q.size--
	if q.size == 0 {
		q.shares.reset()
	}
	if l.list.Len() > 0 {
		return true
	}
	for i := range q.lines {
		if q.lines[i] == l {
			q.lines = append(q.lines[:i], q.lines[i+1:]...)
			break
		}
	}
	return true
}

// pop takes the next waiter, or nil.
func (q *queue) pop() *Waiter {
	if q.size == 0 {
		return nil
	}
	q.pops++
	w := q.lightest().first()
	if q.pops%fairEvery == 0 {
		w = q.oldest()
		if w.Request.Organisation != "" {
			w = w.line.first() // its sort is due, but not before those of its sort
		}
	}
	q.shares.granted(w.tag)
	q.remove(w)
	return w
}

// lightest returns the line that goes first; there is one.
func (q *queue) lightest() *line {
	best, least := q.lines[0], q.weight(q.lines[0].work)
	for _, l := range q.lines[1:] {
		if weight := q.weight(l.work); weight < least {
			best, least = l, weight
		}
	}
	return best
}

// oldest returns the waiter that came first; there is one.
func (q *queue) oldest() *Waiter {
	oldest := q.lines[0].first()
	for _, l := range q.lines {
		for e := l.list.Front(); e != nil; e = e.Next() {
			if w := e.Value.(*Waiter); w.number < oldest.number {
				oldest = w
			}
		}
	}
	return oldest
}

// evict takes the last waiter of the heaviest sort, if that is heavier than the one of
// the new waiter; otherwise the last one of the same sort whose organisation has had more
// of its share than that of the new one.
func (q *queue) evict(w *Waiter) *Waiter {
	var heaviest *line
	most := q.weight(w.Request.Work)
	for _, l := range q.lines {
		if weight := q.weight(l.work); weight > most {
			heaviest, most = l, weight
		}
	}
	if heaviest == nil {
		return q.evictShare(w)
	}
	last := heaviest.last()
	q.drop(last)
	return last
}

// evictShare takes the last waiter of w's sort, if its organisation has had more of its
// share than that of w.
func (q *queue) evictShare(w *Waiter) *Waiter {
	l := q.lineOf(w.Request.Work)
	if l == nil || w.Request.Organisation == "" || l.last().tag <= q.shares.next(w.Request.Organisation) {
		return nil
	}
	last := l.last()
	q.drop(last)
	return last
}

// ahead returns the number of waiters that go before w, which is new.
func (q *queue) ahead(w *Waiter) int {
	w.tag = q.shares.next(w.Request.Organisation)
	own, n := q.weight(w.Request.Work), 0
	for _, l := range q.lines {
		switch {
		case l.work == w.Request.Work:
			n += l.ahead(w)
		case q.weight(l.work) <= own:
			n += l.list.Len()
		}
	}
	return n
}

// ahead returns the number of the line's waiters that go before w.
func (l *line) ahead(w *Waiter) int {
	n := 0
	for e := l.list.Front(); e != nil && !w.ahead(e.Value.(*Waiter)); e = e.Next() {
		n++
	}
	return n
}
