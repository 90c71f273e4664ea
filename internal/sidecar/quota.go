package sidecar

import (
	"net/http"
	"time"

	bounds "github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/transport/outbound"
	"github.com/jacinthgate/jacinthgate/transport/quota"
)

// quotas are the parts that keep the quotas of organisations. Nil keeps none.
type quotas struct {
	limiter *quota.Limiter
	tracker *bounds.Tracker
}

// wireQuotas makes the parts that keep quotas, where the settings ask for it. near and far
// send to gates of the own and of other zones.
func (n *Node) wireQuotas(near, far http.RoundTripper, seed uint64) {
	set := n.set.Quota
	if set.WindowSeconds <= 0 {
		return
	}
	n.quotas = &quotas{
		tracker: bounds.NewTracker(n.set.Node, n.set.Zone, time.Now()),
		limiter: quota.New(quota.Config{
			Self: n.set.Node,
			Zone: n.set.Zone,
			Bounds: bounds.Config{
				Zones: len(n.set.Zones), Window: seconds(set.WindowSeconds), Over: set.Over, Slack: set.Slack,
			},
			Caller:  &quota.HTTPCaller{Zone: n.set.Zone, SameZone: near, OtherZones: far},
			Seed:    seed,
			Metrics: n.metrics,
			Logger:  n.log,
			Now:     time.Now,
		}),
	}
	n.loop.quotas = n.quotas
}

// limits returns what bounds the requests of organisations; nil bounds none.
func (q *quotas) limits() outbound.Quotas {
	if q == nil {
		return nil // not a nil *Limiter in an interface
	}
	return q.limiter
}

// gateHandler answers messages about quotas in front of the gate.
func (n *Node) gateHandler() http.Handler {
	if n.quotas == nil {
		return n.gate
	}
	return quota.Handler(n.quotas.limiter, n.gate, n.log)
}

// updateQuotas takes over what is known of the fleet and of the configuration.
func (l *loop) updateQuotas(now time.Time) {
	if l.quotas == nil {
		return
	}
	l.quotas.limiter.SetMembers(l.quotas.tracker.Update(now, l.member.Table()))
}

// settleQuotas takes over what changes with time: whether a node that has started knows its
// fleet, and which members have been gone for long.
func (l *loop) settleQuotas(now time.Time) {
	if l.quotas != nil && l.quotas.tracker.Changing() {
		l.updateQuotas(now)
	}
}

// applyQuotas takes over the organisations of the configuration in force.
func (l *loop) applyQuotas() {
	if l.quotas == nil {
		return
	}
	l.quotas.limiter.SetOrganisations(l.pub.table.Load().Organisations())
}
