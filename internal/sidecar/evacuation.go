package sidecar

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/evacuation"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// evacuations are the zones that are evacuated.
type evacuations struct {
	zones []model.Zone
	// ownSince is when the evacuation of the node's own zone began; zero if it isn't evacuated.
	ownSince time.Time
}

// evacuatedZones returns the evacuated zones. The result must not be changed.
func (p *published) evacuatedZones() []model.Zone {
	if e := p.evacuations.Load(); e != nil {
		return e.zones
	}
	return nil
}

// ownZoneEvacuated reports whether the node's own zone has been evacuated for at least grace.
// Until then the gate accepts requests of nodes that don't know of the order yet.
func (p *published) ownZoneEvacuated(now time.Time, grace time.Duration) bool {
	e := p.evacuations.Load()
	return e != nil && !e.ownSince.IsZero() && now.Sub(e.ownSince) >= grace
}

// evacuationChanged applies a change of the evacuated zones.
func (l *loop) evacuationChanged(now time.Time, a evacuation.Changed) {
	_ = level.Info(l.log).Log("event", "evacuation_changed", "zone", a.Order.Zone, "active", a.Order.Active,
		"order", store.Transaction(a.Order.Revision), "evacuated", len(a.Zones))
	next := &evacuations{zones: a.Zones}
	before := l.pub.evacuations.Load()
	was := before != nil && !before.ownSince.IsZero()
	switch is := slices.Contains(a.Zones, l.self.Zone); {
	case is && was:
		next.ownSince = before.ownSince
	case is:
		next.ownSince = now
	case was:
		l.backends.assumeCold(now) // it has served no requests during the evacuation
	}
	l.pub.evacuations.Store(next)
	l.publishView(now)
	l.announceCold(now)
	l.gate.Update()
}
