package forward

import (
	"sync"
	"time"
)

// pool keeps idle connections. Requests to different addresses share no lock.
type pool struct {
	perHost int
	timeout time.Duration
	hosts   sync.Map // connKey -> *idleConns
}

// idleConns are the idle connections of one address, the latest used last.
type idleConns struct {
	mu    sync.Mutex
	conns []*clientConn
	// gone says that the pool has dropped it.
	gone bool
	// sweeping says that a sweep is due.
	sweeping bool
}

// get returns a usable connection, or nil. The latest used one comes first, so
// that connections that are not needed grow old.
func (p *pool) get(key connKey) *clientConn {
	v, ok := p.hosts.Load(key)
	if !ok {
		return nil
	}
	host := v.(*idleConns)
	for {
		c := host.take()
		if c == nil {
			return nil
		}
		if c.fresh(time.Since(c.idleSince), p.timeout) && c.usable() {
			return c
		}
		c.close()
	}
}

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

// put keeps a connection for the next request.
func (p *pool) put(c *clientConn) {
	c.idleSince = time.Now()
	for {
		v, ok := p.hosts.Load(c.key)
		if !ok {
			v, _ = p.hosts.LoadOrStore(c.key, &idleConns{})
		}
		if v.(*idleConns).keep(p, c) {
			return
		}
	}
}

// keep reports false when h is gone and another one must be taken.
func (h *idleConns) keep(p *pool, c *clientConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return false
	}
	if len(h.conns) >= p.perHost {
		c.close()
		return true
	}
	h.conns = append(h.conns, c)
	if !h.sweeping {
		h.sweeping = true
		time.AfterFunc(p.timeout, func() { p.sweep(c.key, h) })
	}
	return true
}

// sweep closes what has been idle for too long. An address without idle
// connections is dropped.
func (p *pool) sweep(key connKey, h *idleConns) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := 0
	for old < len(h.conns) && time.Since(h.conns[old].idleSince) >= p.timeout {
		h.conns[old].close()
		old++
	}
	h.conns = append(h.conns[:0], h.conns[old:]...)
	if len(h.conns) == 0 {
		h.gone = true
		p.hosts.Delete(key)
		return
	}
	next := p.timeout - time.Since(h.conns[0].idleSince)
	time.AfterFunc(next, func() { p.sweep(key, h) })
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	for _, v := range p.hosts.Range {
		v.(*idleConns).closeAll()
	}
}

// closeIdle closes the idle connections of one address.
func (p *pool) closeIdle(key connKey) {
	if v, ok := p.hosts.Load(key); ok {
		v.(*idleConns).closeAll()
	}
}

func (h *idleConns) closeAll() {
	for c := h.take(); c != nil; c = h.take() {
		c.close()
	}
}
