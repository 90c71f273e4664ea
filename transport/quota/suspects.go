package quota

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	// suspectTime is for how long a node that didn't answer isn't asked again.
	suspectTime = 500 * time.Millisecond
	// lostCalls is how often in a row it must not have answered: one message may be lost.
	lostCalls = 2
	// silentTime and silentCalls are for how long and how often in a row a node must not
	// have answered before another one issues in its place: lost messages alone are no
	// reason, since the node issues on.
	silentTime  = 150 * time.Millisecond
	silentCalls = 3
	// callsUntilGone is how many calls that take all of their time tell that a node is gone.
	callsUntilGone = int(silentTime/onwardTimeout) + 1
)

// suspects are the nodes that didn't answer lately.
type suspects struct {
	mu    sync.Mutex
	nodes map[model.NodeID]silence
}

// silence is what is known of a node that didn't answer.
type silence struct {
	since, until time.Time
	calls        int
	// refused says that nobody listens at its address.
	refused bool
}

// skipped reports whether a node isn't asked now, since it didn't answer lately.
func (s *suspects) skipped(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && (n.refused || n.calls >= lostCalls)
}

// gone reports whether a node is held to be gone, so that another one acts in its place.
func (s *suspects) gone(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && (n.refused || n.calls >= silentCalls && now.Sub(n.since) >= silentTime)
}

// ended reports whether nobody listened at a node's address lately: what ran there has ended.
func (s *suspects) ended(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && n.refused
}

func (s *suspects) clear(node model.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nodes, node)
}

// add notes that a node didn't answer, and reports whether that is news.
func (s *suspects) add(node model.NodeID, now time.Time, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		s.nodes = make(map[model.NodeID]silence)
	}
	n, held := s.nodes[node]
	if !held {
		n.since = now
	}
	news := !now.Before(n.until)
	n.calls++
	n.until = now.Add(suspectTime)
	n.refused = errors.Is(err, syscall.ECONNREFUSED)
	s.nodes[node] = n
	return news
}

// retain forgets all nodes but the members. One that comes back begins anew.
func (s *suspects) retain(m *quota.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nodes) == 0 {
		return
	}
	members := make(map[model.NodeID]struct{}, m.Fleet)
	for _, zone := range m.Zones {
		for _, member := range zone {
			members[member.Node] = struct{}{}
		}
	}
	for node := range s.nodes {
		if _, live := members[node]; !live {
			delete(s.nodes, node)
		}
	}
}

// unreachable notes that a node didn't answer. There is one log line for each suspectTime.
func (l *Limiter) unreachable(to quota.Member, err error) {
	if l.suspects.add(to.Node, l.cfg.Now(), err) {
		_ = level.Warn(l.cfg.Logger).Log("event", "quota_owner_unreachable", "node", to.Node, "zone", to.Zone, "err", err)
	}
}
