package callers

import (
	"slices"
	"time"
)

const (
	// evictedPart is the part of MaxConnections, as a divisor, that one eviction closes, so that the
	// next connections are accepted without a search.
	evictedPart = 32
	// evictionInterval is the minimum interval between two evictions: the connections of the one
	// before may not be closed yet.
	evictionInterval = 50 * time.Millisecond
	// evictedIdle is how long a connection must have been idle to be closed for another one.
	evictedIdle = 200 * time.Millisecond
)

// awaitRoom waits until a connection may be accepted. It does not wait once the server shuts down:
// what is in the listener's backlog must be accepted then.
func (s *Server) awaitRoom() {
	var evictedAt time.Time
	for s.cfg.MaxConnections > 0 && s.connections() >= s.cfg.MaxConnections && !s.keepAliveOff.Load() && !s.isClosed() {
		if now := time.Now(); now.Sub(evictedAt) >= evictionInterval {
			evictedAt = now
			s.evictIdle()
		}
		time.Sleep(acceptRetryDelay)
	}
}

// evictIdle closes the connections that have been idle longest.
func (s *Server) evictIdle() {
	type idle struct {
		c     *conn
		since time.Time
	}
	before := time.Now().Add(-evictedIdle)
	var all []idle
	s.mu.Lock()
	for c := range s.conns {
		if since, ok := c.idleSince(); ok && since.Before(before) {
			all = append(all, idle{c, since})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b idle) int { return a.since.Compare(b.since) })
	all = all[:min(len(all), 1+s.cfg.MaxConnections/evictedPart)]
	for _, i := range all {
		i.c.closeIfIdle()
	}
	s.cfg.Metrics.GetOrCreateCounter("jacinthgate_callers_evicted_total").Add(len(all))
}
