package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// work returns the request's sort of work.
func (x *exchange) work() model.Work {
	return model.Work{Kind: x.route.Kind, Rank: x.rank(), Target: x.route.Target}
}

// until returns until when the caller waits.
func (x *exchange) until() time.Time { return x.began.Add(x.wait) }

// due returns when the answer should be there.
func (x *exchange) due() time.Time {
	due := x.first.Add(x.route.Target)
	if x.deadline.Before(due) {
		return x.deadline
	}
	return due
}
