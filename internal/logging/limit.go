package logging

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Limit returns a logger that passes on at most perSecond events in each second
// and drops the rest. It is meant for events that untrusted clients can cause.
// Dropped events are still counted in the metrics for such events.
func Limit(logger log.Logger, perSecond int) log.Logger {
	return &limited{next: logger, perSecond: perSecond}
}

// limited is a logger with a rate limit over fixed windows of one second.
type limited struct {
	next      log.Logger
	perSecond int

	mu     sync.Mutex
	second time.Time
	passed int
}

// Log implements log.Logger.
func (l *limited) Log(keyvals ...any) error {
	if !l.allow(time.Now()) {
		return nil
	}
	return l.next.Log(keyvals...)
}

// allow counts an event and reports whether it is within the limit.
func (l *limited) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.passed = now, 0
	}
	l.passed++
	return l.passed <= l.perSecond
}
