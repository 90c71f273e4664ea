package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// workload returns the request's workload.
func (x *exchange) workload() model.Work {
	return model.Work{Kind: x.route.Kind, Rank: x.rank(), Target: x.route.Target}
}

// callerDeadline returns the time until which the caller waits for a response.
func (x *exchange) callerDeadline() time.Time { return x.arrived.Add(x.callerWait) }

// due returns when the response is due by the route's latency target, at the latest at the
// deadline.
func (x *exchange) due() time.Time {
	due := x.firstArrival.Add(x.route.Target)
	if x.deadline.Before(due) {
		return x.deadline
	}
	return due
}
