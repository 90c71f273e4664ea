package gate

import (
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// sortKey returns the sort key of a workload in the queue; the lowest is served
// first. It orders workloads by the value of serving them per service time
// (weighted shortest job first), where each rank is worth twice the next one. The
// short calls that running requests wait for thus pass longer requests, each of
// which would take the place of several calls, even where the longer requests
// rank a little higher. At 1.7 times the capacity, 0.04 of such calls are
// refused; with ranks alone, 0.76 are
// (TestShortCallsPassLongerRequestsOfAHigherRank).
func (g *Gate) sortKey(w model.Work) float64 {
	rank := float64(min(max(w.Rank, 0), maxRank))
	work, all := g.serviceTimes.Of(w).average(), g.serviceTimes.all.average()
	if work <= 0 || all <= 0 {
		return rank
	}
	return rank + math.Log2(float64(work)/float64(all))
}

// maxRank is the highest rank that is distinguished; higher ranks count as this
// one.
const maxRank = 8

// refusal returns the reason to refuse w at once: the queue ahead of it leaves no
// time to run it before its deadline, or no slot is expected by its wait bound. It
// is empty when w may be queued.
func (g *Gate) refusal(w *Waiter, now time.Time) outcome.Reason {
	service := g.lowServiceTime(w.Request.Work, now)
	ahead, slots := g.queue.countAhead(w), max(1, int(g.slots.Load()))
	wait := time.Duration(ahead/slots) * service
	if now.Add(wait + service).After(w.Request.Deadline) {
		return outcome.ReasonDeadline
	}
	if w.waitUntil.IsZero() {
		return ""
	}
	if now.Add(g.rateWait(ahead+1, now)).After(w.waitUntil) {
		return g.waitReason(now)
	}
	if now.Add(time.Duration(ahead+1) * g.releaseInterval(now)).After(w.waitUntil) {
		return outcome.ReasonQueueFull
	}
	return ""
}

// releaseInterval returns the mean time between two slots becoming free while all
// are in use: the mean service time divided by the number of slots. Requests that
// began before a slowdown end in the usual time, and those that begin during it
// don't end soon, so half of the slowdown is applied. Under a rate limit, the
// interval is at least the spacing of that limit.
func (g *Gate) releaseInterval(now time.Time) time.Duration {
	mean := float64(g.serviceTimes.all.average()) * (1 + g.slowdown.current(now)) / 2
	return max(time.Duration(mean)/time.Duration(max(1, g.slots.Load())), g.cold.spacing(now), g.stated.spacing(now))
}

// targetWaitDivisor bounds the wait of a request of average service time to this
// fraction of its target: a sixth. Under sustained overload the queue grows as
// long as the bound allows, and with a longer bound all queued requests are late,
// where a few would be refused otherwise. With waits for as long as the response
// would still be in time, 2,133 of 14,589 responses of a simulated day are late,
// against 602 with a sixth; a quarter is no better than a sixth.
const targetWaitDivisor = 6

// minWaitReleases is the least wait bound, in slot releases (see
// releaseInterval). With less, requests that are next in the queue are often
// refused just because the running requests happen to end late: 0.47 of the short
// calls in place of 0.10 (TestShortCallsPassNewRequestsUnderOverload).
const minWaitReleases = 4

// waitBound returns when w should be refused if it has no slot yet, so that its
// caller can retry elsewhere. Requests with less than the average service time may
// wait longer: serving one takes little time from the others, and refusing the
// short calls of a running request wastes its run.
func (g *Gate) waitBound(w *Waiter, now time.Time) time.Time {
	work, target := g.serviceTimes.Of(w.Request.Work).average(), w.Request.Work.Target
	if work == 0 || target == 0 {
		return w.latestStart // there is no data for a tighter bound
	}
	wait := float64(target/targetWaitDivisor) * float64(g.serviceTimes.all.average()) / float64(work)
	wait = max(wait, float64(minWaitReleases*g.releaseInterval(now)))
	if until := now.Add(time.Duration(wait)); until.Before(w.latestStart) {
		return until
	}
	return w.latestStart
}
