package inbound

import "net/http"

// noteLoad keeps how slow the host is at this moment, as the backend server tells it
// with a response.
func (g *Gate) noteLoad(h http.Header) {
	l, told, err := g.cfg.Dialect.Load(h)
	switch {
	case err != nil:
		if g.unreadable.Get() == 0 { // one line tells enough: further answers will be alike
			_ = g.cfg.Logger.Log("event", "backend_load_unreadable", "err", err)
		}
		g.unreadable.Inc()
	case told && l.Slowdown > 0:
		g.core.ReportSlowness(l.Slowdown, g.cfg.Now())
	}
}

// slowdown returns how many times as long as usual work takes on the host at this moment.
func (g *Gate) slowdown() float64 {
	return g.core.Slowdown(g.cfg.Now())
}
