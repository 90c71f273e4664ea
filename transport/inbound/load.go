package inbound

import "net/http"

// recordLoad records the current slowness of the host, which the backend server reports in
// the headers of a response.
func (g *Gate) recordLoad(h http.Header) {
	l, known, err := g.cfg.Dialect.Load(h)
	switch {
	case err != nil:
		if g.unreadable.Get() == 0 { // log once only: further responses are likely to fail in the same way
			_ = g.cfg.Logger.Log("event", "backend_load_unreadable", "err", err)
		}
		g.unreadable.Inc()
	case known && l.Slowdown > 0:
		g.core.ReportSlowness(l.Slowdown, g.cfg.Now())
	}
}

// slowdown returns the current slowness of the host: how many times as long as at its
// baseline a request takes.
func (g *Gate) slowdown() float64 {
	return g.core.Slowdown(g.cfg.Now())
}
