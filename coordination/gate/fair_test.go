package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// firm returns the requests of an organisation, which weighs as much as its quota.
func firm(name string, weight, rate float64) *stream {
	return &stream{
		work:  model.Work{Kind: model.KindInteractive, Rank: 1, Target: 500 * time.Millisecond},
		takes: 150 * time.Millisecond, rate: rate, deadline: 1500 * time.Millisecond,
		organisation: name, weight: weight,
	}
}

// One organisation sends more than all slots take, two others less than half of their
// shares each. Who keeps to its share is served, but for a third request of its own within
// the time that one may wait; who floods pays.
func TestFloodOfOneOrganisationIsPaidByIt(t *testing.T) {
	flood, first, second := firm("flood", 20, 60), firm("first", 20, 7), firm("second", 20, 7)
	play(t, 8, flood, first, second)
	t.Logf("flood: %d of %d in time; others: %d of %d, %d of %d", flood.inTime.Load(), flood.asked.Load(),
		first.inTime.Load(), first.asked.Load(), second.inTime.Load(), second.asked.Load())
	must.Greater(t, 0.9, share(&first.inTime, &first.asked))
	must.Greater(t, 0.9, share(&second.inTime, &second.asked))
	// What the others leave, 39 of 53 requests a second, goes to the one that floods.
	must.Greater(t, 0.55, share(&flood.inTime, &flood.asked))
}

// With weights of one to three, shares of what is short are one to three.
func TestSharesFollowTheWeights(t *testing.T) {
	small, large := firm("small", 10, 60), firm("large", 30, 60)
	play(t, 8, small, large)
	t.Logf("small: %d in time; large: %d", small.inTime.Load(), large.inTime.Load())
	ratio := float64(large.inTime.Load()) / float64(small.inTime.Load())
	must.Between(t, 2, ratio, 4)
}

// Without organisations the order is by time left, as before.
func TestWaitersOfNobodyGoByTheirTime(t *testing.T) {
	var q queue
	q.weight = func(model.Work) float64 { return 0 }
	w := func(latest time.Duration, organisation string) *Waiter {
		return &Waiter{Request: Request{Organisation: organisation, Weight: 1}, latest: start.Add(latest)}
	}
	late, early := w(2*time.Second, ""), w(time.Second, "")
	q.push(late)
	q.push(early)
	must.True(t, q.pop() == early)
	must.True(t, q.pop() == late)
	// The second request of one organisation goes behind the first of another.
	a1, a2, b1 := w(1*time.Second, "a"), w(1*time.Second, "a"), w(3*time.Second, "b")
	q.push(a1)
	q.push(a2)
	q.push(b1)
	must.True(t, q.pop() == a1)
	must.True(t, q.pop() == b1)
	must.True(t, q.pop() == a2)
}

// A full queue has room for whom its share leaves it: the last request of the organisation
// that has most waits no longer.
func TestFullQueueShedsWhoHasMost(t *testing.T) {
	g := busy(t, 1)
	g.Update(Limits{Slots: 1, Connections: 1, QueueLength: 2}, start)
	work := model.WorkOf(model.KindInteractive)
	var shed []string
	enter := func(organisation string) bool {
		w := &Waiter{Request: Request{Work: work, Deadline: start.Add(time.Hour), Organisation: organisation, Weight: 1}}
		w.Settle = func(reason outcome.Reason) { shed = append(shed, organisation+" "+string(reason)) }
		_, reason := g.Acquire(w, start)
		return reason == ""
	}
	must.True(t, enter("flood"))
	must.True(t, enter("flood"))
	must.False(t, enter("flood"))
	must.True(t, enter("other"))
	must.Eq(t, []string{"flood shed"}, shed)
}
