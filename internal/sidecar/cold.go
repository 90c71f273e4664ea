package sidecar

import (
	"time"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/state/instance"
)

// coldBurstShare is the part of the settings' tolerance that the gate uses as its burst. The rest
// absorbs bunches of requests on a host that is short of CPU time.
const coldBurstShare = 0.5

// limits returns the limits of a backend server that is cold until a time and can handle
// perSecond requests per second; 0 is no limit.
func (s *ColdSettings) limits(perSecond float64, until time.Time) core.RateLimit {
	if perSecond <= 0 {
		return core.RateLimit{}
	}
	return core.RateLimit{
		Until: until, PerSecond: perSecond,
		Burst: coldBurstShare * (max(0, s.Over-1)*perSecond + s.Slack),
	}
}

// cold reports whether a backend server counts as cold and the configuration limits its rate
// meanwhile.
func (p *published) cold(i *instance.Instance, now time.Time) bool {
	return now.Before(i.WarmAt) && p.serviceConfig(i.Service).ColdPerSecond > 0
}

// coldUnknown reports whether the settings bound the requests to cold backend servers, and no
// configuration is held yet that tells their rate.
func (n *Node) coldUnknown() bool { return n.set.Cold.Over > 0 && n.pub.table.Load() == nil }

// announceCold tells the fleet when the backend server has become cold or warm.
func (l *loop) announceCold(now time.Time) {
	i := l.backends.reachable()
	if i == nil || l.pub.cold(i, now) == l.member.Self().Cold {
		return
	}
	_ = l.log.Log("event", "backend_cold_changed", "instance", i.Key(), "cold", l.pub.cold(i, now), "remaining", max(0, i.WarmAt.Sub(now)))
	l.carryOut(now, l.member.Step(now, l.pub.announcement(i, now)))
}
