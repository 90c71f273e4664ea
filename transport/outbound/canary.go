package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
)

// pickCanary chooses a backend server of a version that isn't trusted yet, where the
// request may be sent to one. A request that fails there is sent on to others only.
func (x *exchange) pickCanary(now time.Time, routing *rollout.Routing, want balance.PickOptions) (balance.Choice, bool) {
	if routing == nil || x.canaried || !routing.AllowCanary(x.route.Repeatable()) {
		return balance.Choice{}, false
	}
	x.canaried = true
	c, err := x.p.cfg.Balance.PickFor(now, routing.CanaryService, routing.Canaries, &x.tried, want)
	if err != nil {
		routing.RefundCanary()
		return balance.Choice{}, false
	}
	return c, true
}

// earnCanary notes that the request has reached a backend server that any may be sent
// to.
func (x *exchange) earnCanary(choice balance.Choice) {
	if routing := x.p.cfg.Routing().Of(x.service.Name); routing != nil && !routing.OnTrial(choice.Record.Version) {
		routing.CreditCanary()
	}
}
