package outbound

import (
	"errors"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// confine restricts the request to the regions that its route and its organisation allow.
func (x *exchange) confine() {
	var own []model.Region
	if x.organisation != nil {
		own = x.organisation.Regions
	}
	x.exclusions.Confine(x.route.Regions, own)
}

// noServerLeft records that there is no further backend server to try, for the reason that err
// gives.
func (x *exchange) noServerLeft(err error) {
	var none *balance.NoEndpointError
	if errors.As(err, &none) && none.HeldFor > 0 && !x.refusedOtherwise {
		x.noteLimitWait(none.HeldFor + maxQueueTime)
		x.trail.Forbid(outcome.ReasonServerLimit)
		return
	}
	if x.exclusions.Confined() && x.trail.Progress.Sends == 0 {
		x.trail.Forbid(outcome.ReasonNoRegion)
		return
	}
	x.trail.Exhaust()
}

// pick chooses the backend server for the next attempt.
func (x *exchange) pick(now time.Time) (balance.Choice, error) {
	options := balance.PickOptions{Work: x.workload(), MaxNearWait: max(0, x.due().Sub(now)/nearWaitDivisor)}
	options.MayProbe, options.Repeatable = x.trail.Progress.Sends == 0, x.route.Repeatable()
	routing := x.p.cfg.Routing().Of(x.service.Name)
	if c, ok := x.pickCanary(now, routing, options); ok {
		return c, nil
	}
	servers := x.candidates(routing)
	x.hasAlternatives = len(servers) > 1
	if x.route.Kind == model.KindBulk {
		return x.pickLink(now, servers, options)
	}
	return x.p.cfg.Balance.PickFor(now, x.service, servers, &x.exclusions, options)
}

// nearWaitDivisor sets how long a request may queue at a loaded server of its own zone
// before a server in another zone is preferred: the time until the response is due divided
// by this. The remaining half is left for the processing itself.
const nearWaitDivisor = 2

// candidates returns the backend servers that every request may be sent to: those not on
// trial in a roll-out.
func (x *exchange) candidates(routing *rollout.Routing) []endpoint.Record {
	if routing != nil {
		return routing.Main
	}
	if view := x.p.cfg.View(); view != nil {
		return view.Service(x.service.Name)
	}
	return nil
}
