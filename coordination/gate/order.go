package gate

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// weight orders the sorts of work by what serving them gains for the time it
// takes (weighted shortest job first): each rank counts twice the next one. The
// short calls that running requests wait for so pass longer requests, of which
// each would cost several of them, also where those rank a little higher: with
// ranks alone 0.76 of such calls are refused at 1.7 times the load, 0.04 so
// (TestShortCallsPassLongerRequestsOfAHigherRank).
func (g *Gate) weight(w model.Work) float64 {
	rank := float64(min(max(w.Rank, 0), maxRank))
	work, all := g.times.Of(w).average(), g.times.all.average()
	if work <= 0 || all <= 0 {
		return rank
	}
	return rank + math.Log2(float64(work)/float64(all))
}

// maxRank bounds the ranks that are told apart.
const maxRank = 8

// late returns why w is better refused at once: the queue ahead leaves no time
// to run it before its deadline, or no slot in time for when it is due. It is
// empty when w may wait.
func (g *Gate) late(w *Waiter, now time.Time) outcome.Reason {
	service := g.least(w.Request.Work, now)
	ahead, slots := g.queue.ahead(w), max(1, int(g.slots.Load()))
	wait := time.Duration(ahead/slots) * service
	if now.Add(wait + service).After(w.Request.Deadline) {
		return outcome.ReasonDeadline
	}
	if w.until.IsZero() {
		return ""
	}
	if now.Add(time.Duration(ahead+1) * g.interval(now)).After(w.until) {
		return outcome.ReasonQueueFull
	}
	return ""
}

// interval returns the mean time until a slot becomes free while all are in use:
// the slots-th part of the mean service time. Requests that began before a slow moment
// end as usual, and those that begin in it don't end soon: half of it counts.
func (g *Gate) interval(now time.Time) time.Duration {
	mean := float64(g.times.all.average()) * (1 + g.slowdown.get(now)) / 2
	return max(time.Duration(mean)/time.Duration(max(1, g.slots.Load())), g.cold.spacing(now))
}

// waitPart is the part of its target that a request of average work waits for a
// slot at most. Under a standing overload the queue is as long as its bound lets
// it be, and all that wait longer are late in place of a few that are refused:
// waits for as long as an answer is in time made 2,133 of 14,589 answers late in
// place of 602 (one played day), a quarter was no better than a sixth.
const waitPart = 6

// waitSlots is the number of slots becoming free for which a request may wait
// in any case: one that goes next is then seldom refused by an accident of the
// running requests' ends: 0.10 of short calls in place of 0.47
// (TestShortCallsPassNewRequestsUnderOverload).
const waitSlots = 4

// waitBound returns when w is better refused, so that its caller can come back.
// Requests of less than average work may wait longer: one that is served takes
// little from the others, and the short calls of a request that is running waste
// its run when they are refused.
func (g *Gate) waitBound(w *Waiter, now time.Time) time.Time {
	work, target := g.times.Of(w.Request.Work).average(), w.Request.Work.Target
	if work == 0 || target == 0 {
		return w.latest // nothing is known to bound it by
	}
	wait := float64(target/waitPart) * float64(g.times.all.average()) / float64(work)
	wait = max(wait, float64(waitSlots*g.interval(now)))
	if until := now.Add(time.Duration(wait)); until.Before(w.latest) {
		return until
	}
	return w.latest
}
