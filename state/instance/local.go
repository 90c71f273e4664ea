package instance

import (
	"slices"
	"time"
)

const (
	// maxGone limits the number of departed instances that are remembered. A host runs
	// one backend server at a time, so this covers many restarts.
	maxGone = 32
	// lateMessageWindow is the time after an instance has left during which a message of an
	// earlier instance with its identifier may still arrive: heartbeats may be some
	// seconds late, or delayed by a network partition. A message that arrives later with
	// an earlier start time is from a new instance, started after the host's clock was
	// set back.
	lateMessageWindow = 30 * time.Second
)

// departed records an instance that has left.
type departed struct {
	Start
	at time.Time
}

// Local is the state machine that tracks the instances of the host's backend server.
// It is not safe for concurrent use.
type Local struct {
	current *Instance
	// replaced is the instance before current, kept until a second heartbeat confirms
	// current. A single heartbeat isn't enough: one that a network partition has delayed
	// may arrive after its sender has crashed and the next instance has registered.
	replaced *Instance
	gone     []departed // oldest first
}

// Current returns the current instance, or nil if there is none. Later calls don't change
// the returned instance.
func (l *Local) Current() *Instance { return l.current }

// RecordHeartbeat records a heartbeat and reports whether it changed anything that other nodes
// need. An outdated heartbeat is ignored, except that it may mark a replaced instance as
// draining.
func (l *Local) RecordHeartbeat(now time.Time, h Heartbeat) bool {
	c := l.current
	switch {
	case l.isGone(now, h.Start):
		if h.Draining {
			l.drainReplaced(now, h.Start)
		}
		return false
	case c == nil, !c.same(h.Start) && !h.before(c.Start):
		l.replace(now, h)
		return true
	case h.before(c.Start), h.Sequence <= c.Sequence:
		return false // from an earlier instance, or an earlier one of this instance
	}
	l.replaced = nil
	next := c.updated(now, h)
	l.current = next
	return next.State != c.State || next.Addr != c.Addr || next.Service != c.Service || next.Version != c.Version || next.Slots != c.Slots ||
		next.Start != c.Start
}

// replace makes the sender of h the current instance. It records the former one as gone,
// since a host runs one backend server.
func (l *Local) replace(now time.Time, h Heartbeat) {
	l.replaced = l.current
	if l.current != nil {
		l.recordGone(now, l.current.Start)
	}
	l.current = newInstance(now, h)
}

// Leave records the goodbye of an instance, which still finishes its requests. It
// reports whether that changed the state.
func (l *Local) Leave(now time.Time, s Start) bool {
	c := l.current
	if c == nil || !c.same(s) {
		if l.drainReplaced(now, s) {
			return true
		}
		if l.isGone(now, s) || c != nil && s.before(c.Start) {
			return false
		}
		l.recordGone(now, s)
		return true
	}
	return startDraining(now, &l.current)
}

// startDraining replaces an instance by a draining copy if it is ready, and reports whether
// it was.
func startDraining(now time.Time, i **Instance) bool {
	if (*i).State != Ready {
		return false
	}
	next := **i
	next.drain(now)
	*i = &next
	return true
}

// drainReplaced marks the replaced instance as draining if it is s, so that it isn't
// ready should it be restored. It reports whether that changed its state.
func (l *Local) drainReplaced(now time.Time, s Start) bool {
	if l.replaced == nil || !l.replaced.same(s) {
		return false
	}
	return startDraining(now, &l.replaced)
}

// Forget removes an instance permanently because it has ended or another one has taken
// its address. It reports whether it was the current one. If only one heartbeat had made
// it current, the instance before it is restored.
func (l *Local) Forget(now time.Time, s Start) bool {
	if !l.isGone(now, s) {
		l.recordGone(now, s)
	}
	if l.current == nil || !l.current.same(s) {
		if l.replaced != nil && l.replaced.same(s) {
			l.replaced = nil // don't restore it
		}
		return false
	}
	l.current = l.restoreReplaced()
	return true
}

// restoreReplaced returns the replaced instance and no longer records it as gone. It
// returns nil if there is none.
func (l *Local) restoreReplaced() *Instance {
	r := l.replaced
	l.replaced = nil
	if r == nil {
		return nil
	}
	l.gone = slices.DeleteFunc(l.gone, func(d departed) bool { return d.Start == r.Start })
	return r
}

// Expire removes the current instance if it has sent no heartbeat for ttl. It records it as
// gone only if it was draining, so that a later heartbeat doesn't make it ready again. It
// reports whether it removed one.
func (l *Local) Expire(now time.Time, ttl time.Duration) bool {
	if l.current == nil || now.Sub(l.current.LastHeartbeat) < ttl {
		return false
	}
	if l.current.State != Ready {
		l.recordGone(now, l.current.Start)
	}
	l.current = nil
	l.restoreReplaced() // so that its next heartbeat is accepted again
	return true
}

// assumedColdTime is the time for which AssumeCold treats an instance as cold unless a
// heartbeat arrives. It is longer than any start takes.
const assumedColdTime = time.Hour

// AssumeCold treats the current instance as cold until its next heartbeat. Since the last
// one it may have restarted, or become cold for lack of requests.
func (l *Local) AssumeCold(now time.Time) {
	if l.current == nil {
		return
	}
	next := *l.current
	next.WarmAt = now.Add(assumedColdTime)
	l.current = &next
}

// isGone reports whether an instance has left, or is earlier than one with its identifier
// that left less than lateMessageWindow ago.
func (l *Local) isGone(now time.Time, s Start) bool {
	return slices.ContainsFunc(l.gone, func(d departed) bool {
		return d.same(s) || s.before(d.Start) && now.Sub(d.at) < lateMessageWindow
	})
}

// recordGone records an instance as gone, in the place of the oldest record if maxGone are
// held.
func (l *Local) recordGone(now time.Time, s Start) {
	if len(l.gone) == maxGone {
		l.gone = append(l.gone[:0], l.gone[1:]...)
	}
	l.gone = append(l.gone, departed{Start: s, at: now})
}
