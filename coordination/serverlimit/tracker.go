package serverlimit

import (
	"sync"
	"time"
)

// Source tells where a limit was learned.
type Source string

// The sources.
const (
	// SourceResponse is a response of the backend server.
	SourceResponse Source = "response"
	// SourceEntryNode is an entry node that had received such a response before this
	// process started. The limit may have changed since.
	SourceEntryNode Source = "entry-node"
)

// Limit is a stated rate limit. The zero value is none.
type Limit struct {
	// Stated reports whether there is a limit.
	Stated bool
	// PerSecond is the number of requests per second from all hosts together; 0 accepts
	// none.
	PerSecond float64
	// Source tells where the limit was learned, and Since when it took this value.
	Source Source
	Since  time.Time
}

// Response is what a response of the backend server implies for its limit.
type Response struct {
	// Stated reports whether the response states a limit of PerSecond.
	Stated    bool
	PerSecond float64
	// Conclusive reports whether the backend server has certainly written the response
	// itself and run the request. Only such a response ends a limit by stating none.
	Conclusive bool
	// Sent is when the request was sent.
	Sent time.Time
}

// statement orders the statements of one instance. Responses arrive on several connections
// and are handled concurrently, so an older one may be handled after a newer one. A stricter
// statement therefore applies at once, a looser one only if its request was sent after the
// current limit was last confirmed: the backend server has certainly written that response
// later.
type statement struct {
	limit       Limit
	confirmedAt time.Time
}

// observe applies a response and reports whether the limit or its source changed.
func (s *statement) observe(r Response, now time.Time) bool {
	switch {
	case r.Stated && (!s.limit.Stated || r.PerSecond <= s.limit.PerSecond):
		changed := !s.limit.Stated || r.PerSecond != s.limit.PerSecond || s.limit.Source != SourceResponse
		s.state(r.PerSecond, SourceResponse, now)
		return changed
	case !s.limit.Stated || !r.Sent.After(s.confirmedAt):
		return false
	case r.Stated:
		s.state(r.PerSecond, SourceResponse, now)
		return true
	case r.Conclusive:
		s.limit = Limit{}
		return true
	}
	return false
}

// state sets the limit.
func (s *statement) state(perSecond float64, source Source, now time.Time) {
	if !s.limit.Stated || s.limit.PerSecond != perSecond {
		s.limit.Since = now
	}
	s.limit.Stated, s.limit.PerSecond, s.limit.Source = true, perSecond, source
	s.confirmedAt = now
}

// Tracker tracks the limit of the current instance of one backend server. The zero value
// tracks none. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	instance string
	own      statement
	// heard is set once a response of the instance has shown what it states. Hints are
	// ignored from then on.
	heard bool
	// hintedAt is when a response confirmed the limit of the latest hint.
	hintedAt time.Time
	// ended and endedAt are the last limit that ended and when; zero if none has.
	ended   Limit
	endedAt time.Time
	changes int
}

// Begin starts to track an instance. A new instance has no limit until it states one;
// further calls for the same instance change nothing.
func (t *Tracker) Begin(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance == t.instance {
		return
	}
	if t.own.limit.Stated {
		t.changes++
	}
	t.instance, t.own, t.heard, t.hintedAt = instance, statement{}, false, time.Time{}
	t.ended, t.endedAt = Limit{}, time.Time{}
}

// Observe records a response of an instance and reports whether the limit changed. Responses
// of instances other than the tracked one are ignored.
func (t *Tracker) Observe(instance string, r Response, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance != t.instance {
		return false
	}
	t.heard = t.heard || r.Stated || r.Conclusive
	before := t.own.limit
	changed := t.own.observe(r, now)
	if changed {
		t.changes++
	}
	if before.Stated && !t.own.limit.Stated {
		t.ended, t.endedAt = before, now
	}
	return changed
}

// Adopt takes over a limit that an entry node has received from the tracked instance, and
// reports whether the limit changed. This process must learn it before it sends the first
// request: a former process of this node may have passed it on. Of several hints, the one that
// was confirmed last applies, and none once the instance itself has responded.
func (t *Tracker) Adopt(instance string, h Hint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-h.Age)
	if instance != t.instance || t.heard || !at.After(t.hintedAt) {
		return false
	}
	t.hintedAt = at
	changed := !t.own.limit.Stated || t.own.limit.PerSecond != h.PerSecond
	t.own.state(h.PerSecond, SourceEntryNode, now)
	if changed {
		t.changes++
	}
	return changed
}

// Ended returns the last limit of the tracked instance that has ended, and when; zero values if
// none has.
func (t *Tracker) Ended() (Limit, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended, t.endedAt
}

// Current returns the tracked instance, its limit and the number of changes so far.
func (t *Tracker) Current() (instance string, l Limit, changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance, t.own.limit, t.changes
}
