package attempt

import (
	"sync"
	"time"
)

// Together knows which requests at this node expire together: the calls that a running
// backend server makes expire at their parent's deadline, and where one of them fails,
// the run fails with it. No header tells that they belong together. It is safe for
// concurrent use.
type Together struct {
	mu     sync.Mutex
	groups map[groupKey]*group
}

// groupKey names the requests for one service that expire in the same slot of time.
type groupKey struct {
	service string
	slot    int64
}

const (
	// togetherSlot is how far apart requests may say that they expire and still count as
	// one group: they tell whole milliseconds and are on their way for less than one.
	togetherSlot = time.Millisecond
	// togetherStart is how far apart such requests arrive at most: others expire at the
	// same moment by chance.
	togetherStart = 10 * time.Millisecond
)

// group are the requests that expire together.
type group struct {
	began            time.Time
	members, failing int
}

// Member is one request among those that expire together. One goroutine uses it.
type Member struct {
	t       *Together
	key     groupKey
	group   *group
	failing bool
}

// NewTogether returns an empty record.
func NewTogether() *Together { return &Together{groups: make(map[groupKey]*group)} }

// Join adds a request for a service that arrives now and whose caller waits until a
// moment. Leave must follow.
func (t *Together) Join(now time.Time, service string, until time.Time) *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &Member{t: t, key: groupKey{service, until.UnixNano() / int64(togetherSlot)}}
	for _, near := range [...]int64{0, -1, 1} {
		key := groupKey{service, m.key.slot + near}
		if g := t.groups[key]; g != nil && now.Sub(g.began) <= togetherStart {
			m.key, m.group = key, g
			break
		}
	}
	if m.group == nil {
		m.group = &group{began: now}
		t.groups[m.key] = m.group
	}
	m.group.members++
	return m
}

// Failing notes that a backend server has refused or failed the request, so that only a
// repeat can answer it.
func (m *Member) Failing() {
	m.t.mu.Lock()
	defer m.t.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.group.failing++
	}
}

// Others returns how many other requests expire together with this one, and how many of
// them have failed so far; one that has left without an answer counts among both.
func (m *Member) Others() (all, failing int) {
	m.t.mu.Lock()
	defer m.t.mu.Unlock()
	all, failing = m.group.members-1, m.group.failing
	if m.failing {
		failing--
	}
	return max(all, failing), failing
}

// Leave ends the request. One that was answered is no longer failing; any other one
// weighs on those that expire with it for as long as they last.
func (m *Member) Leave(answered bool) {
	m.t.mu.Lock()
	defer m.t.mu.Unlock()
	g := m.group
	if answered && m.failing {
		g.failing--
	}
	if g.members--; g.members == 0 && m.t.groups[m.key] == g {
		delete(m.t.groups, m.key)
	}
}
