package attempt

import (
	"sync"
	"time"
)

// CallGroups groups this node's requests that expire together, to recognise the nested
// calls of one run: they expire at the deadline of the request that is run, and if one of
// them fails, the run fails with it. No header marks the calls of a run. It is safe for
// concurrent use.
type CallGroups struct {
	mu     sync.Mutex
	groups map[groupKey]*group
}

// groupKey identifies the requests for one service whose deadlines are in the same slot of
// time.
type groupKey struct {
	service      string
	deadlineSlot int64
}

const (
	// deadlineSlotWidth is the length of a slot of deadlines. A request joins a group of
	// its own slot or of an adjacent one: deadlines are sent in whole milliseconds, and a
	// request takes less than one to arrive.
	deadlineSlotWidth = time.Millisecond
	// maxArrivalSpread is the longest time between the arrival of a group's first request
	// and that of any other. Requests further apart have the same deadline by chance.
	maxArrivalSpread = 10 * time.Millisecond
)

// group is a set of requests that expire together.
type group struct {
	firstArrival     time.Time
	members, failing int
}

// Member is one request of a group. It must be used by one goroutine only.
type Member struct {
	set     *CallGroups
	key     groupKey
	group   *group
	failing bool
}

// NewCallGroups returns an empty set of groups.
func NewCallGroups() *CallGroups { return &CallGroups{groups: make(map[groupKey]*group)} }

// Join adds a request for a service that arrives now and whose caller waits until the
// deadline. Leave must follow.
func (c *CallGroups) Join(now time.Time, service string, deadline time.Time) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &Member{set: c, key: groupKey{service, deadline.UnixNano() / int64(deadlineSlotWidth)}}
	for _, offset := range [...]int64{0, -1, 1} {
		key := groupKey{service, m.key.deadlineSlot + offset}
		if g := c.groups[key]; g != nil && now.Sub(g.firstArrival) <= maxArrivalSpread {
			m.key, m.group = key, g
			break
		}
	}
	if m.group == nil {
		m.group = &group{firstArrival: now}
		c.groups[m.key] = m.group
	}
	m.group.members++
	return m
}

// Failing records that a backend server has refused or failed the request, so that only a
// retry can get an answer.
func (m *Member) Failing() {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.group.failing++
	}
}

// Others returns the number of other requests in the group, and how many of them have
// failed so far. A failed request that has left without an answer counts in both.
func (m *Member) Others() (all, failing int) {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	all, failing = m.group.members-1, m.group.failing
	if m.failing {
		failing--
	}
	return max(all, failing), failing
}

// Leave removes the request from its group. If it was answered it no longer counts as
// failed; a failed request without an answer goes on counting for the rest of its group.
func (m *Member) Leave(answered bool) {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	g := m.group
	if answered && m.failing {
		g.failing--
	}
	if g.members--; g.members == 0 && m.set.groups[m.key] == g {
		delete(m.set.groups, m.key)
	}
}
