package inbound

import (
	"cmp"
	"time"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/state/instance"
)

// queuePerSlot bounds the queue, in requests for each slot of the backend server. Further
// requests would wait longer than is of use to their callers.
const queuePerSlot = 4

// Update applies the current state of the backend server and the configuration of its
// service. It must be called after each change and about every 100 ms.
func (g *Gate) Update() {
	now := g.cfg.Now()
	g.applyLimits(now)
	g.core.Tick(now)
	g.logLimit(now)
}

// applyLimits sets the limits of the current instance of the backend server. Concurrent calls are
// serialised, so that the last one applies the latest state.
func (g *Gate) applyLimits(now time.Time) {
	g.applying.Lock()
	defer g.applying.Unlock()
	l := core.Limits{Draining: true}
	if i := g.cfg.Instance(); i != nil {
		g.limit.Begin(i.Key())
		service := g.cfg.Service(i.Service)
		l.Slots = i.Slots
		l.Connections = cmp.Or(service.Connections, i.Slots)
		l.QueueLength = queuePerSlot * i.Slots
		l.Cold = g.cfg.Cold(service.ColdPerSecond, i.WarmAt)
		l.Stated = g.statedRate(now)
		l.Draining = g.drainGraceOver(i, now) || g.cfg.Evacuated()
	}
	g.core.Update(l, now)
}

// drainGraceOver reports whether the backend server is draining and gets no further
// requests.
func (g *Gate) drainGraceOver(i *instance.Instance, now time.Time) bool {
	return i.State != instance.Ready && now.Sub(i.DrainSince) >= g.cfg.DrainGrace
}

// withdrawn reports whether the roll-out rejects the version of the backend server. The
// gate checks this itself, as an entry node may not have learned of it yet.
func (g *Gate) withdrawn(i *instance.Instance) bool {
	return g.cfg.Routing().Of(i.Service).Rejects(i.Version)
}
