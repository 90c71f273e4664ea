// Package budget schedules a node's control messages so that they stay within a budget of
// bytes per second. Each peer has a bounded queue; all peers share one token bucket.
//
// Messages are sent in order of priority (urgent, normal, routine), and round robin over the
// peers within a priority. Two exceptions prevent starvation. After MaxPassed consecutive
// urgent messages while a normal one waited, the next message is normal. After MaxPassed
// consecutive normal messages while a routine one waited, the next message is routine, unless
// an urgent one waits: an urgent message never waits for a routine one. So a continuous
// stream of urgent messages delays each normal message by at most MaxPassed messages, and
// routine ones indefinitely.
//
// In any period of t seconds the messages returned by Pop add up to at most
//
//	BytesPerSecond*t + max(Burst+Overdraw, the largest message)
//
// bytes. The package does no I/O and reads no clock. A Scheduler is for use by one goroutine.
package budget

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// MaxPassed is the number of consecutive messages that may be sent before a waiting message
// of the next lower priority gets a turn.
const MaxPassed = 16

// Config configures a Scheduler.
type Config struct {
	// BytesPerSecond is the mean rate for all peers together.
	BytesPerSecond float64
	// Burst is the capacity of the bucket in bytes, which may be sent at once after an idle
	// period. It should hold a whole configuration, so that a peer that joins gets it at once.
	Burst float64
	// Overdraw is how many bytes urgent messages may take from an empty bucket, so that a
	// version head doesn't wait for the bytes of a body.
	Overdraw float64
	// PeerMessages limits the messages queued for one peer.
	PeerMessages int
	// PeerBytes limits the bytes queued for one peer.
	PeerBytes int
}

// Defaults of Config.
const (
	defaultRate         = 8 << 10
	defaultBurst        = 1 << 20
	defaultOverdraw     = 16 << 10
	defaultPeerMessages = 256
	defaultPeerBytes    = 2 << 20
)

// DefaultConfig returns the defaults. The rate is 8 KB/s, which the project's design size
// sets for a node.
func DefaultConfig() Config {
	return Config{
		BytesPerSecond: defaultRate,
		Burst:          defaultBurst,
		Overdraw:       defaultOverdraw,
		PeerMessages:   defaultPeerMessages,
		PeerBytes:      defaultPeerBytes,
	}
}

// Item is a queued message.
type Item struct {
	// Peer is the receiver.
	Peer model.NodeID
	// Priority is the message's priority.
	Priority message.Priority
	// Key identifies the subject of the message. A new item replaces a queued one with the
	// same peer and key. Items with an empty key are never replaced.
	Key string
	// Payload is the encoded message; its length counts against the budget.
	Payload []byte
}

func (i *Item) size() int { return len(i.Payload) }

// Scheduler holds the peers' queues and the token bucket.
type Scheduler struct {
	cfg    Config
	bucket bucket
	peers  map[model.NodeID]*peerQueue
	// roundRobin is the order of the peers; nextPeer is each priority's position in it.
	roundRobin []*peerQueue
	nextPeer   [message.NumPriorities]int
	// passed counts, for each priority, the consecutive messages that were sent while one of
	// the next lower priority waited.
	passed [message.NumPriorities]int
}

// New returns a scheduler with a full bucket.
func New(cfg Config, now time.Time) *Scheduler {
	return &Scheduler{
		cfg:    cfg,
		bucket: newBucket(cfg, now),
		peers:  make(map[model.NodeID]*peerQueue),
	}
}

// Push queues an item. It replaces a queued item with the same peer and key in place, or
// removes that one if its priority differs. If the peer's queue then exceeds its bounds, Push
// drops the oldest items of the lowest priority, possibly the new one, and returns them.
func (s *Scheduler) Push(item Item) (dropped []Item) {
	q := s.peers[item.Peer]
	if q == nil {
		q = &peerQueue{peer: item.Peer}
		s.peers[item.Peer] = q
		s.roundRobin = append(s.roundRobin, q)
	}
	q.put(item)
	for q.count > s.cfg.PeerMessages || q.bytes > s.cfg.PeerBytes {
		dropped = append(dropped, q.dropOldest())
	}
	return dropped
}

// Pop removes and returns the next item. If ok is false, nothing may be sent now: wait is the
// time until the budget allows the next item, or 0 if no item waits.
func (s *Scheduler) Pop(now time.Time) (item Item, wait time.Duration, ok bool) {
	s.bucket.refill(now)
	p, promoted := s.choose()
	if p == message.NumPriorities {
		return Item{}, 0, false
	}
	index := s.nextQueue(p)
	q := s.roundRobin[index]
	size := q.items[p][0].size()
	overdraw := p == message.Urgent || promoted
	if wait := s.bucket.wait(size, overdraw); wait > 0 {
		return Item{}, wait, false
	}
	s.bucket.take(size)
	s.countSent(p)
	s.nextPeer[p] = (index + 1) % len(s.roundRobin)
	return q.take(p), 0, true
}

// Block suspends the queue of a peer that can't accept a message now.
func (s *Scheduler) Block(peer model.NodeID) {
	if q := s.peers[peer]; q != nil {
		q.blocked = true
	}
}

// Unblock reverts Block.
func (s *Scheduler) Unblock(peer model.NodeID) {
	if q := s.peers[peer]; q != nil {
		q.blocked = false
	}
}

// Remove drops a peer's queue and returns the number of items that it held.
func (s *Scheduler) Remove(peer model.NodeID) int {
	q := s.peers[peer]
	if q == nil {
		return 0
	}
	delete(s.peers, peer)
	for i, other := range s.roundRobin {
		if other == q {
			s.roundRobin = append(s.roundRobin[:i], s.roundRobin[i+1:]...)
			break
		}
	}
	return q.count
}

// Len returns the number of queued items of all peers.
func (s *Scheduler) Len() int {
	n := 0
	for _, q := range s.roundRobin {
		n += q.count
	}
	return n
}

// choose returns the priority of the next message, or NumPriorities if nothing waits.
// promoted is set if a normal message goes next because MaxPassed urgent ones were sent before
// it: it may overdraw the bucket as the urgent message in its place could.
func (s *Scheduler) choose() (p message.Priority, promoted bool) {
	urgent, normal, routine := s.waits(message.Urgent), s.waits(message.Normal), s.waits(message.Routine)
	switch {
	case urgent && normal && s.passed[message.Urgent] >= MaxPassed:
		return message.Normal, true
	case urgent:
		return message.Urgent, false
	case normal && routine && s.passed[message.Normal] >= MaxPassed:
		return message.Routine, false
	case normal:
		return message.Normal, false
	case routine:
		return message.Routine, false
	default:
		return message.NumPriorities, false
	}
}

// countSent updates passed after an item of the priority was sent.
func (s *Scheduler) countSent(p message.Priority) {
	if p > 0 {
		s.passed[p-1] = 0
	}
	if lower := p + 1; lower < message.NumPriorities && s.waits(lower) {
		s.passed[p]++
	}
}

func (s *Scheduler) waits(p message.Priority) bool { return s.nextQueue(p) >= 0 }

// nextQueue returns the index in roundRobin of the queue whose turn it is in the priority, or
// -1 if no unblocked queue has such an item.
func (s *Scheduler) nextQueue(p message.Priority) int {
	for i := range s.roundRobin {
		index := (s.nextPeer[p] + i) % len(s.roundRobin)
		q := s.roundRobin[index]
		if !q.blocked && len(q.items[p]) > 0 {
			return index
		}
	}
	return -1
}
