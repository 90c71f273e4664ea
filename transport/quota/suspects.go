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
	// suspectTime is the time for which a failed call counts against a node. Each further failure
	// extends it, a successful call ends it.
	suspectTime = 500 * time.Millisecond
	// suspectCalls is the number of consecutive failed calls after which a node is called no
	// more for suspectTime. It isn't 1, since a single message may be lost.
	suspectCalls = 2
	// goneTime and goneCalls are the duration and the number of consecutive failed calls after
	// which a standby considers the owner gone and issues tokens in its place. Lost messages
	// alone must not suffice, since the owner then continues to issue tokens as well.
	goneTime  = 150 * time.Millisecond
	goneCalls = 3
	// callsUntilGone is the number of consecutive calls that must time out before a node is
	// considered gone.
	callsUntilGone = int(goneTime/nestedCallTimeout) + 1
)

// suspects tracks the nodes that failed to respond recently. It is safe for concurrent use.
type suspects struct {
	mu    sync.Mutex
	nodes map[model.NodeID]suspicion
}

// suspicion records the consecutive failed calls to one node.
type suspicion struct {
	// since is the time of the first failure, until the time at which the suspicion expires.
	since, until time.Time
	failedCalls  int
	// connRefused is set if the last call failed since no process listens at the node's address.
	connRefused bool
}

// skipped reports whether a node isn't called at present, since recent calls to it failed.
func (s *suspects) skipped(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && (n.connRefused || n.failedCalls >= suspectCalls)
}

// gone reports whether a node is considered gone, so that its standby issues tokens in its place.
func (s *suspects) gone(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && (n.connRefused || n.failedCalls >= goneCalls && now.Sub(n.since) >= goneTime)
}

// ended reports whether a node's process has ended: the last call failed recently, since no process
// listened at its address.
func (s *suspects) ended(node model.NodeID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[node]
	return now.Before(n.until) && n.connRefused
}

// clear removes the suspicion of a node that has responded.
func (s *suspects) clear(node model.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nodes, node)
}

// add records a failed call to a node, and reports whether the node wasn't suspected before.
func (s *suspects) add(node model.NodeID, now time.Time, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		s.nodes = make(map[model.NodeID]suspicion)
	}
	n, known := s.nodes[node]
	if !known {
		n.since = now
	}
	isNew := !now.Before(n.until)
	n.failedCalls++
	n.until = now.Add(suspectTime)
	n.connRefused = errors.Is(err, syscall.ECONNREFUSED)
	s.nodes[node] = n
	return isNew
}

// retain drops the records of nodes that are no longer members. One that rejoins starts without any.
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

// recordUnreachable records a failed call to a node. It logs the failure unless the node is already
// suspected.
func (l *Limiter) recordUnreachable(to quota.Member, err error) {
	if l.suspects.add(to.Node, l.cfg.Now(), err) {
		_ = level.Warn(l.cfg.Logger).Log("event", "quota_owner_unreachable", "node", to.Node, "zone", to.Zone, "err", err)
	}
}
