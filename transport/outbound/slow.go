package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// mayReroute reports whether the gate may refuse the request because its host is
// temporarily slow. Only the first gate tried may, where there is another server to try, and
// only in this node's zone, as crossing into another zone has a cost of its own. It returns
// false for:
//   - a large response: its server is chosen by the free capacity of the links;
//   - a request that can only be late: it takes any free slot;
//   - a streamed body: one attempt may consume it;
//   - an attempt at a version on trial, which needs the few requests that it is judged by.
func (x *exchange) mayReroute(to *endpoint.Record, now time.Time) bool {
	first := x.trail.Progress.Sends == 1 && !x.triedCanary
	return first && x.hasAlternatives && to.Zone == x.p.cfg.Zone &&
		x.route.Kind != model.KindBulk && x.body.buffered() && x.inTime(now)
}

// allowAgain makes a server eligible again whose gate refused the request because its host
// is slow: a second attempt there is not marked as reroutable and is therefore accepted.
func (x *exchange) allowAgain(choice balance.Choice) { x.exclusions.Remove(choice.Record.Node) }
