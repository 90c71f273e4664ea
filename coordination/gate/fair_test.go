package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// organisationStream returns a stream of requests of an organisation, whose weight is its quota.
func organisationStream(name string, weight, rate float64) *stream {
	return &stream{
		work:        model.Work{Kind: model.KindInteractive, Rank: 1, Target: 500 * time.Millisecond},
		serviceTime: 150 * time.Millisecond, rate: rate, deadline: 1500 * time.Millisecond,
		organisation: name, weight: weight,
	}
}

// One organisation sends more requests than all slots can serve, and two others use less than
// half of their shares. The two are served, except for a third request of their own within the
// time that a request may wait; only the flooding organisation is refused often.
func TestFloodOfOneOrganisationIsPaidByIt(t *testing.T) {
	flood, first, second := organisationStream("flood", 20, 60), organisationStream("first", 20, 7), organisationStream("second", 20, 7)
	simulate(t, 8, flood, first, second)
	t.Logf("flood: %d of %d in time; others: %d of %d, %d of %d", flood.inTime.Load(), flood.sent.Load(),
		first.inTime.Load(), first.sent.Load(), second.inTime.Load(), second.sent.Load())
	must.Greater(t, 0.9, fraction(&first.inTime, &first.sent))
	must.Greater(t, 0.9, fraction(&second.inTime, &second.sent))
	// The capacity that the others leave, 39 of 53 requests per second, goes to the flooding one.
	must.Greater(t, 0.55, fraction(&flood.inTime, &flood.sent))
}

// While slots are short, organisations with weights of one to three get slots one to three.
func TestSharesFollowTheWeights(t *testing.T) {
	small, large := organisationStream("small", 10, 60), organisationStream("large", 30, 60)
	simulate(t, 8, small, large)
	t.Logf("small: %d in time; large: %d", small.inTime.Load(), large.inTime.Load())
	ratio := float64(large.inTime.Load()) / float64(small.inTime.Load())
	must.Between(t, 2, ratio, 4)
}

// Waiters without an organisation start in the order of their latest start.
func TestWaitersWithoutOrganisationStartByTime(t *testing.T) {
	var q queue
	q.sortKey = func(model.Work) float64 { return 0 }
	w := func(latest time.Duration, organisation string) *Waiter {
		return &Waiter{Request: Request{Organisation: organisation, Weight: 1}, latestStart: start.Add(latest)}
	}
	late, early := w(2*time.Second, ""), w(time.Second, "")
	q.push(late)
	q.push(early)
	must.True(t, q.pop() == early)
	must.True(t, q.pop() == late)
	// The second request of one organisation starts after the first of another.
	a1, a2, b1 := w(1*time.Second, "a"), w(1*time.Second, "a"), w(3*time.Second, "b")
	q.push(a1)
	q.push(a2)
	q.push(b1)
	must.True(t, q.pop() == a1)
	must.True(t, q.pop() == b1)
	must.True(t, q.pop() == a2)
}

// A full queue still takes a request of an organisation that has used less of its share: the
// last request of the organisation that has used most is shed.
func TestFullQueueShedsLargestShare(t *testing.T) {
	g := busyGate(t, 1)
	g.Update(Limits{Slots: 1, Connections: 1, QueueLength: 2}, start)
	work := model.WorkOf(model.KindInteractive)
	var shed []string
	acquire := func(organisation string) bool {
		w := &Waiter{Request: Request{Work: work, Deadline: start.Add(time.Hour), Organisation: organisation, Weight: 1}}
		w.Settle = func(reason outcome.Reason) { shed = append(shed, organisation+" "+string(reason)) }
		_, reason := g.Acquire(w, start)
		return reason == ""
	}
	must.True(t, acquire("flood"))
	must.True(t, acquire("flood"))
	must.False(t, acquire("flood"))
	must.True(t, acquire("other"))
	must.Eq(t, []string{"flood shed"}, shed)
}
