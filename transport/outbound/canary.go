package outbound

import (
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
)

// pickCanary chooses a backend server of a version that isn't trusted yet, where the
// request may be sent to one. A request that fails there is sent on to others only.
func (x *exchange) pickCanary(now time.Time, lane *rollout.Lane, want balance.PickOptions) (balance.Choice, bool) {
	if lane == nil || x.canaried || !lane.Try(x.route.Repeatable()) {
		return balance.Choice{}, false
	}
	x.canaried = true
	c, err := x.p.cfg.Balance.PickFor(now, lane.CanaryService, lane.Canaries, &x.tried, want)
	if err != nil {
		lane.Spare()
		return balance.Choice{}, false
	}
	return c, true
}

// earnCanary notes that the request has reached a backend server that any may be sent
// to.
func (x *exchange) earnCanary(choice balance.Choice) {
	if lane := x.p.cfg.Lanes().Of(x.service.Name); lane != nil && !lane.Tries(choice.Record.Version) {
		lane.Reached()
	}
}
