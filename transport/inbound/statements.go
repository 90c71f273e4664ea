package inbound

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	core "github.com/jacinthgate/jacinthgate/coordination/gate"
	"github.com/jacinthgate/jacinthgate/coordination/serverlimit"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
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
	if g.limit.Observe(c.instance.Key(), r, now) {
		g.applyLimits(now)
	}
}

// adoptLimit takes over what the entry node knows of the backend server's limit. It returns
// false if the hint is malformed.
func (g *Gate) adoptLimit(c *call, h http.Header, now time.Time) bool {
	lines := h[outcome.HeaderStatedLimit]
	if len(lines) == 0 {
		return true
	}
	hint, err := serverlimit.ParseHint(lines[0])
	if err != nil {
		return false
	}
	if g.limit.Adopt(c.instance.Key(), hint, now) {
		g.applyLimits(now)
	}
	return true
}

// maxStatedTime is longer than a backend server states a limit: it ends by a response, not by
// time.
const maxStatedTime = 365 * 24 * time.Hour

// statedRate returns the rate limit that the backend server states. One that has ended is
// returned with its end, so that its slots come back gradually.
func (g *Gate) statedRate(now time.Time) core.RateLimit {
	_, l, _ := g.limit.Current()
	until := now.Add(maxStatedTime)
	if !l.Stated {
		l, until = g.limit.Ended()
	}
	if !l.Stated {
		return core.RateLimit{}
	}
	perSecond, burst := l.Rate()
	return core.RateLimit{Until: until, PerSecond: perSecond, Burst: burst}
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
