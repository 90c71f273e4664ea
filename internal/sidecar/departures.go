package sidecar

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// maxDepartures bounds the remembered instances. A fleet of the design size replaces a few
// hundred backend servers a day.
const maxDepartures = 1024

// departures are instances of backend servers that have stated in responses which this node has
// passed on that they are shutting down. The node sends nothing more to them, whatever other
// nodes say: their own node may be cut off, or have started again without knowing it.
type departures struct {
	order []string // oldest first
	set   map[string]bool
}

// has reports whether an instance has departed. A nil *departures has none.
func (d *departures) has(instance string) bool { return d != nil && d.set[instance] }

// with returns the departures with one more instance, in place of the oldest if there are
// maxDepartures.
func (d *departures) with(instance string) *departures {
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

// instanceDeparted is the event of a departure that this node has learned of.
type instanceDeparted struct {
	instance string
}

// Event implements core.Event.
func (instanceDeparted) Event() {}

var _ core.Event = instanceDeparted{}

// departed removes an instance from the backend servers that this node sends to.
func (n *Node) departed(instance string) {
	if instance == "" || n.pub.departures.Load().has(instance) {
		return
	}
	n.loop.queue.Post(n.ctx, instanceDeparted{instance})
}

// depart carries out the event.
func (l *loop) depart(now time.Time, instance string) {
	before := l.pub.departures.Load()
	if before.has(instance) {
		return
	}
	l.pub.departures.Store(before.with(instance))
	_ = level.Info(l.log).Log("event", "instance_departed", "instance", instance)
	l.publishView(now)
}
