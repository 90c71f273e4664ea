package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var elsewhereValue = []string{"1"}

// mayGoElsewhere reports whether the gate may refuse the request since its host is slow at
// this moment: the first that is asked, where another one can be, and only near, as the way
// into another zone costs. Large answers go where a link is, what can only be late looks
// for any room, a body that is passed on as it comes may be gone after one send, and a
// version that isn't trusted yet gets the few requests that it is judged by.
func (x *exchange) mayGoElsewhere(to *endpoint.Record, now time.Time) bool {
	first := x.trail.Progress.Sends == 1 && !x.canaried
	return first && x.others && to.Zone == x.p.cfg.Zone &&
		x.route.Kind != model.KindBulk && x.body.kept() && x.inTime(now)
}

// sendOn notes that the gate has refused since its host is slow. The server wasn't tried in
// vain: the request may come back to it, and is then taken.
func (x *exchange) sendOn(choice balance.Choice) { x.tried.Remove(choice.Record.Node) }
