package instance

import (
	"slices"
	"time"
)

const (
	// maxGone bounds the starts that are remembered as gone. A host runs one backend
	// server at a time, so this covers many restarts.
	maxGone = 32
	// lateness is how long after a start has left a word of an earlier start of its
	// identifier may still arrive: heartbeats are some seconds late, or held up by a
	// cut. What comes later and says to be earlier is a new start whose host's clock
	// went back.
	lateness = 30 * time.Second
)

// departed is a start that has left.
type departed struct {
	Start
	at time.Time
}

// Local is the state machine of the host's backend server. It is not safe for
// concurrent use.
type Local struct {
	current *Instance
	// replaced is the instance that current has replaced, until current is
	// confirmed by a second heartbeat. One that was held up by a cut may arrive
	// after its sender has crashed and the next instance has registered.
	replaced *Instance
	gone     []departed // oldest first
}

// Current returns the present instance, or nil when none is known.
func (l *Local) Current() *Instance { return l.current }

// Hear takes a heartbeat and reports whether it changed what other nodes need
// to know. A late heartbeat changes nothing.
func (l *Local) Hear(now time.Time, h Heartbeat) bool {
	c := l.current
	switch {
	case l.isGone(now, h.Start):
		if h.Draining {
			l.leaveReplaced(now, h.Start)
		}
		return false
	case c == nil, !c.same(h.Start) && !h.before(c.Start):
		l.replace(now, h)
		return true
	case h.before(c.Start), h.Sequence <= c.Sequence:
		return false // of an earlier start, or an earlier one of this
	}
	l.replaced = nil
	next := c.heard(now, h)
	l.current = next
	return next.State != c.State || next.Addr != c.Addr || next.Service != c.Service || next.Version != c.Version || next.Slots != c.Slots ||
		next.Start != c.Start
}

// replace begins with a new instance. The former one is gone: a host runs one
// backend server.
func (l *Local) replace(now time.Time, h Heartbeat) {
	l.replaced = l.current
	if l.current != nil {
		l.remember(now, l.current.Start)
	}
	l.current = newInstance(now, h)
}

// Leave notes that a start says goodbye. It finishes what it has. It reports
// whether that is news.
func (l *Local) Leave(now time.Time, s Start) bool {
	c := l.current
	if c == nil || !c.same(s) {
		if l.leaveReplaced(now, s) {
			return true
		}
		if l.isGone(now, s) || c != nil && s.before(c.Start) {
			return false
		}
		l.remember(now, s)
		return true
	}
	return leave(now, &l.current)
}

// leave notes that an instance is leaving, and reports whether that is news.
func leave(now time.Time, i **Instance) bool {
	if (*i).State != Ready {
		return false
	}
	next := **i
	next.drain(now)
	*i = &next
	return true
}

// leaveReplaced notes that the instance that seems to have been replaced is leaving, and
// reports whether that is news: should it be back, it isn't ready again.
func (l *Local) leaveReplaced(now time.Time, s Start) bool {
	if l.replaced == nil || !l.replaced.same(s) {
		return false
	}
	return leave(now, &l.replaced)
}

// Forget drops a start for good: it has ended, or another one has taken its
// address. It reports whether it was the present one. The one that it seemed to
// have replaced is back where only one heartbeat had said so.
func (l *Local) Forget(now time.Time, s Start) bool {
	if !l.isGone(now, s) {
		l.remember(now, s)
	}
	if l.current == nil || !l.current.same(s) {
		if l.replaced != nil && l.replaced.same(s) {
			l.replaced = nil // it won't be back
		}
		return false
	}
	l.current = l.restore()
	return true
}

// restore takes back that an instance was replaced, and returns it; nil where
// there is none.
func (l *Local) restore() *Instance {
	r := l.replaced
	l.replaced = nil
	if r == nil {
		return nil
	}
	l.gone = slices.DeleteFunc(l.gone, func(d departed) bool { return d.Start == r.Start })
	return r
}

// Expire drops an instance that was not heard for ttl, without holding it to be
// gone for good. It reports whether there was one.
func (l *Local) Expire(now time.Time, ttl time.Duration) bool {
	if l.current == nil || now.Sub(l.current.Heard) < ttl {
		return false
	}
	l.current = nil
	l.restore() // it is heard again by its next heartbeat
	return true
}

// assumedColdTime is how long an instance is assumed to be cold without a heartbeat. It is longer
// than any start takes.
const assumedColdTime = time.Hour

// AssumeCold treats the current instance as cold until its next heartbeat. It may have restarted,
// or become cold for lack of requests, since the last one.
func (l *Local) AssumeCold(now time.Time) {
	if l.current == nil {
		return
	}
	next := *l.current
	next.WarmAt = now.Add(assumedColdTime)
	l.current = &next
}

// isGone reports whether a start has left, or is earlier than one that has.
func (l *Local) isGone(now time.Time, s Start) bool {
	return slices.ContainsFunc(l.gone, func(d departed) bool {
		return d.same(s) || s.before(d.Start) && now.Sub(d.at) < lateness
	})
}

func (l *Local) remember(now time.Time, s Start) {
	if len(l.gone) == maxGone {
		l.gone = append(l.gone[:0], l.gone[1:]...)
	}
	l.gone = append(l.gone, departed{Start: s, at: now})
}
