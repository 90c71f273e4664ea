package forward

import (
	"slices"
	"sync"
	"time"
)

// pool holds idle connections. Requests to different addresses share no lock.
type pool struct {
	perHost int           // maximum number of idle connections per address
	timeout time.Duration // how long a connection may be idle
	check   time.Duration // interval of checks of idle connections; 0 for none
	byKey   sync.Map      // connKey -> *idleConns
}

// idleConns holds the idle connections of one address, the most recently used last.
type idleConns struct {
	mu    sync.Mutex
	conns []*clientConn
	// removed is set once the pool has removed this object.
	removed bool
	// sweepScheduled is set once a timer for a sweep is running.
	sweepScheduled bool
}

// get returns a usable idle connection, or nil. It prefers the most recently used
// one, so that surplus connections reach their idle timeout.
func (p *pool) get(key connKey) *clientConn {
	v, ok := p.byKey.Load(key)
	if !ok {
		return nil
	}
	idle := v.(*idleConns)
	for {
		c := idle.take()
		if c == nil {
			return nil
		}
		if c.withinIdleLimit(time.Since(c.idleSince), p.timeout) && c.usable() {
			return c
		}
		c.close()
	}
}

// take removes and returns the most recently used connection, or nil.
func (h *idleConns) take() *clientConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.conns) - 1
	if last < 0 {
		return nil
	}
	c := h.conns[last]
	h.conns[last] = nil
	h.conns = h.conns[:last]
	return c
}

// put adds a connection that has become idle.
func (p *pool) put(c *clientConn) {
	c.idleSince = time.Now()
	for {
		v, ok := p.byKey.Load(c.key)
		if !ok {
			v, _ = p.byKey.LoadOrStore(c.key, &idleConns{})
		}
		if v.(*idleConns).add(p, c) {
			return
		}
	}
}

// add adds c, or closes it if there are enough idle connections. It returns false
// if the pool has removed h, in which case c must be added to another object.
func (h *idleConns) add(p *pool, c *clientConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed {
		return false
	}
	if len(h.conns) >= p.perHost {
		c.close()
		return true
	}
	h.conns = append(h.conns, c)
	if !h.sweepScheduled {
		h.sweepScheduled = true
		time.AfterFunc(p.sweepIn(p.timeout), func() { p.sweep(c.key, h) })
	}
	return true
}

// sweepIn returns the time until the next sweep if the next idle timeout is in d.
func (p *pool) sweepIn(d time.Duration) time.Duration {
	if p.check > 0 {
		return min(d, p.check)
	}
	return d
}

// sweep closes the connections that have reached the idle timeout or are no longer usable,
// and schedules the next sweep. It removes an address without idle connections from the pool.
func (p *pool) sweep(key connKey, h *idleConns) {
	h.mu.Lock()
	defer h.mu.Unlock()
	expired := 0
	for expired < len(h.conns) && time.Since(h.conns[expired].idleSince) >= p.timeout {
		h.conns[expired].close()
		expired++
	}
	h.conns = append(h.conns[:0], h.conns[expired:]...)
	if p.check > 0 {
		h.conns = slices.DeleteFunc(h.conns, func(c *clientConn) bool {
			usable := c.usable()
			if !usable {
				c.close()
			}
			return !usable
		})
	}
	if len(h.conns) == 0 {
		h.removed = true
		p.byKey.Delete(key)
		return
	}
	next := p.timeout - time.Since(h.conns[0].idleSince)
	time.AfterFunc(p.sweepIn(next), func() { p.sweep(key, h) })
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	for _, v := range p.byKey.Range {
		v.(*idleConns).closeAll()
	}
}

// closeIdle closes the idle connections of one address.
func (p *pool) closeIdle(key connKey) {
	if v, ok := p.byKey.Load(key); ok {
		v.(*idleConns).closeAll()
	}
}

// closeAll closes the idle connections of h.
func (h *idleConns) closeAll() {
	for c := h.take(); c != nil; c = h.take() {
		c.close()
	}
}
