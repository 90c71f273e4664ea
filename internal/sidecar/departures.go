package sidecar

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/departure"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// maxDepartures bounds the remembered instances. A fleet of the design size replaces a few
// hundred backend servers a day.
const maxDepartures = 1024

// departures are the instances of backend servers that have departed while their nodes may still
// offer them, for the path of a request.
type departures struct {
	order []string // oldest first
	set   map[string]bool
}

// has reports whether an instance has departed. A nil *departures has none.
func (d *departures) has(instance string) bool { return d != nil && d.set[instance] }

// with returns the departures with one more instance, in place of the oldest if there are
// maxDepartures.
func (d *departures) with(instance string) *departures {
	if d.has(instance) {
		return d
	}
	next := &departures{set: make(map[string]bool)}
	if d != nil {
		next.order = slices.Clone(d.order[max(0, len(d.order)-maxDepartures+1):])
	}
	next.order = append(next.order, instance)
	for _, each := range next.order {
		next.set[each] = true
	}
	return next
}

// stated notes that a backend server has stated in a response that it is shutting down.
func (n *Node) stated(instance string) {
	if instance == "" || n.pub.departures.Load().has(instance) {
		return
	}
	n.loop.queue.Post(n.ctx, departure.Stated{Instance: instance})
}

// located adds the node beside which the instance runs.
func (l *loop) located(s departure.Stated) departure.Stated {
	l.member.Table().Each(func(r *endpoint.Record, _ model.NodeKey) bool {
		if r.Instance == s.Instance {
			s.Node, s.Incarnation = r.Node, r.Incarnation
		}
		return s.Node == ""
	})
	return s
}

// departureChanged carries out an action on departures.
func (l *loop) departureChanged(now time.Time, a core.Action) {
	switch a := a.(type) {
	case departure.Departed:
		if a.Offered {
			l.pub.departures.Store(l.pub.departures.Load().with(a.Instance))
			_ = level.Info(l.log).Log("event", "instance_departed", "instance", a.Instance, "node", a.Node)
			l.publishView(now)
		}
	case departure.OwnDeparted:
		if l.backends.drained(a.Instance) {
			l.withdraw(now)
		}
		if !a.Stored {
			l.storeDeparture(a.Instance)
		}
	case departure.Kept:
		l.backends.keptByPeer(a.Instance)
	case departure.Settled:
		i := l.backends.settle(a.InDoubt)
		_ = level.Info(l.log).Log("event", "departures_learned", "offered", i != nil, "in_doubt", a.InDoubt)
		l.offer(now, i)
	}
}

// offer announces a backend server that was withheld; nil announces nothing.
func (l *loop) offer(now time.Time, i *instance.Instance) {
	if i != nil {
		l.carryOut(now, l.member.Step(now, l.pub.announcement(i, now)))
		l.gate.Update()
	}
}
