package inbound

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
)

// observeStatements records what the backend server states about itself in a response: its
// rate limit, and that it is shutting down. ran reports whether it ran the request, which was
// sent at the given time.
func (g *Gate) observeStatements(c call, h http.Header, sent time.Time, ran bool) {
	now := g.cfg.Now()
	leaving, err := g.cfg.Dialect.Leaving(h)
	switch {
	case err != nil:
		g.statementUnreadable(c, err, now)
	case leaving:
		g.cfg.Leaving(c.instance.Key())
	}
	perSecond, stated, err := g.cfg.Dialect.Limit(h)
	if err != nil {
		g.statementUnreadable(c, err, now)
		return
	}
	r := serverlimit.Response{Stated: stated, PerSecond: perSecond, Conclusive: ran && g.cfg.Dialect.Signed(h), Sent: sent}
	g.limit.Observe(c.instance.Key(), r, now)
}

// statedLimit returns the value of the gauge of the stated limit: requests per second, -1 for
// none.
func (g *Gate) statedLimit() float64 {
	if _, l, _ := g.limit.Current(); l.Stated {
		return l.PerSecond
	}
	return -1
}

// statementLogInterval is the minimum time between two log lines on a backend server's
// statements, since it may state something else in each response.
const statementLogInterval = time.Second

// statementLog holds what was logged about the backend server's statements.
type statementLog struct {
	unreadable *metrics.Counter

	mu           sync.Mutex
	limit        serverlimit.Limit
	changes      int
	limitAt      time.Time
	unreadableAt time.Time
}

// logLimit logs a limit that was learned, has changed or has ended, with the one before it.
func (g *Gate) logLimit(now time.Time) {
	instance, l, changes := g.limit.Current()
	s := &g.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	if changes == s.changes || now.Sub(s.limitAt) < statementLogInterval {
		return
	}
	_ = level.Warn(g.cfg.Logger).Log("event", "backend_limit_changed", "instance", instance, "limited", l.Stated, "per_second", l.PerSecond,
		"was_limited", s.limit.Stated, "was_per_second", s.limit.PerSecond, "source", l.Source, "age", age(l, now), "changes", changes-s.changes)
	s.limit, s.changes, s.limitAt = l, changes, now
}

// age returns the time since a limit took its value; 0 if there is none.
func age(l serverlimit.Limit, now time.Time) time.Duration {
	if !l.Stated {
		return 0
	}
	return now.Sub(l.Since)
}

// statementUnreadable counts a statement that can't be parsed and has no effect, and logs it
// at a bounded rate.
func (g *Gate) statementUnreadable(c call, err error, now time.Time) {
	s := &g.statements
	s.unreadable.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.unreadableAt) < statementLogInterval {
		return
	}
	s.unreadableAt = now
	_ = level.Error(g.cfg.Logger).Log("event", "backend_statement_unreadable", "instance", c.instance.Key(), "err", err)
}
