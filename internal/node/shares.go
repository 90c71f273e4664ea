package node

import (
	"maps"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/share"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// shares brings this node's part of fleet-wide limits into force. It runs on
// the event loop.
type shares struct {
	self      model.NodeID
	interval  time.Duration
	limiter   *admit.Limiter
	holder    *share.Holder
	allocator *share.Allocator
	estimator *share.Estimator

	next    time.Time
	route   share.Route
	lead    share.Lead
	leading bool
}

func newShares(self model.NodeID, zone model.Zone, limiter *admit.Limiter) *shares {
	cfg := share.DefaultConfig()
	return &shares{
		self:      self,
		interval:  cfg.Interval,
		limiter:   limiter,
		holder:    share.NewHolder(cfg, self, zone),
		allocator: share.NewAllocator(cfg, self, zone),
		estimator: share.NewEstimator(),
	}
}

// limits tells both cores the limits of a new version.
func (s *shares) limits(now time.Time, v *snapshot.Snapshot, l *loop) {
	s.give(now, share.Limits{Snapshot: v}, l)
}

// step gives an event to both cores, and now and then the demand measured here.
func (s *shares) step(now time.Time, ev core.Event, l *loop) {
	s.follow(now, l)
	s.give(now, ev, l)
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.interval)
	demand := s.estimator.Estimate(s.limiter.Demand(now))
	s.give(now, share.Measured{Items: demand}, l)
}

// follow tells the cores where the zone's reader is, when that changed.
func (s *shares) follow(now time.Time, l *loop) {
	route := share.Route{
		Upstream: l.dist.Upstream(),
		Zones:    max(1, l.zoneCount()),
		Members:  max(1, len(l.member.Live())),
	}
	if l.leaseHeld {
		route.Upstream = s.self
	}
	if route != s.route {
		s.route = route
		s.give(now, route, l)
	}
	s.followLead(now, l, route)
}

// followLead tells the allocator whether this node is the reader, and which
// nodes are those of the other zones.
func (s *shares) followLead(now time.Time, l *loop, route share.Route) {
	if !l.leaseHeld {
		if s.leading {
			s.leading = false
			s.give(now, share.Follow{}, l)
		}
		return
	}
	lead := share.Lead{Term: l.leaseTerm, Zones: route.Zones, Members: route.Members, Readers: l.otherReaders()}
	if s.leading && sameLead(lead, s.lead) {
		return
	}
	s.leading, s.lead = true, lead
	s.give(now, lead, l)
}

func sameLead(a, b share.Lead) bool {
	return a.Term == b.Term && a.Zones == b.Zones && a.Members == b.Members && maps.Equal(a.Readers, b.Readers)
}

func (s *shares) give(now time.Time, ev core.Event, l *loop) {
	s.carryOut(now, s.holder.Step(now, ev), l)
	s.carryOut(now, s.allocator.Step(now, ev), l)
}

func (s *shares) carryOut(now time.Time, actions []core.Action, l *loop) {
	for _, a := range actions {
		switch a := a.(type) {
		case share.SetFloor:
			s.limiter.SetFloor(a.Fraction)
		case share.SetShare:
			s.limiter.SetShare(a.Limit, admit.Share{PerSecond: a.Amount.PerSecond, Concurrency: a.Amount.Concurrency})
		case share.ClearShare:
			s.limiter.ClearShare(a.Limit)
		case core.Send:
			s.send(now, a, l)
		default:
			l.do(now, a)
		}
	}
}

// send sends to a peer. On the reader the holder and the allocator send to each
// other.
func (s *shares) send(now time.Time, a core.Send, l *loop) {
	if a.To != s.self {
		l.do(now, a)
		return
	}
	s.give(now, core.Received{From: s.self, Message: a.Message}, l)
}
