package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
)

// pickCanary chooses a backend server of a version on trial, where the roll-out allows the
// request to be sent to one. After a failed attempt there the request only goes to servers of
// other versions.
func (x *exchange) pickCanary(now time.Time, routing *rollout.Routing, options balance.PickOptions) (balance.Choice, bool) {
	if routing == nil || x.triedCanary || !routing.AllowCanary(x.route.Repeatable()) {
		return balance.Choice{}, false
	}
	x.triedCanary = true
	c, err := x.p.cfg.Balance.PickFor(now, routing.CanaryService, routing.Canaries, &x.exclusions, options)
	if err != nil {
		routing.RefundCanary()
		return balance.Choice{}, false
	}
	return c, true
}

// creditCanary credits the roll-out with a request that has reached a backend server of a
// version that isn't on trial.
func (x *exchange) creditCanary(choice balance.Choice) {
	if routing := x.p.cfg.Routing().Of(x.service.Name); routing != nil && !routing.OnTrial(choice.Record.Version) {
		routing.CreditCanary()
	}
}
