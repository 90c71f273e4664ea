// Package budget decides which waiting message is sent next and when, so that
// a node's control traffic keeps within its bytes per second. Each peer has a
// bounded queue; all peers draw on one token bucket.
//
// The order: urgent before normal before routine, and round robin over the
// peers within a priority. Two exceptions prevent starvation. After
// MaxPassed urgent messages in a row while a normal one waited, the next one
// is normal. After MaxPassed normal messages in a row while a routine one
// waited, the next one is routine, unless an urgent one waits: an urgent
// message never waits behind a routine one. So urgent messages without end
// delay normal ones by at most MaxPassed messages each, and routine ones
// without limit.
//
// The bound: in any time t the messages taken sum up to at most
//
//	BytesPerSecond*t + max(Burst+Overdraw, the largest message)
//
// The package is pure: it has no clock, and one goroutine owns a Scheduler.
package budget

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// MaxPassed is how many messages of a higher priority may go before a waiting
// one of the next lower priority gets a turn.
const MaxPassed = 16

// Config configures a Scheduler.
type Config struct {
	// BytesPerSecond is the mean rate of all peers together.
	BytesPerSecond float64
	// Burst is the size of the bucket in bytes: what may be sent at once after
	// a quiet time. It should hold a whole configuration, so that a peer that
	// joins gets it at once.
	Burst float64
	// Overdraw is how many bytes urgent messages may take beyond an empty
	// bucket, so that a version head does not wait for a body's bytes.
	Overdraw float64
	// PeerMessages bounds the messages that wait for one peer.
	PeerMessages int
	// PeerBytes bounds the bytes that wait for one peer.
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

// DefaultConfig returns the defaults: 8 KB/s, as the project's design size
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

// Item is one waiting message.
type Item struct {
	// Peer is the receiver.
	Peer model.NodeID
	// Priority orders the item.
	Priority message.Priority
	// Key names what the message is about. A newer item for the same peer
	// with the same key replaces a waiting one. Empty means no replacement.
	Key string
	// Payload is the encoded message; its length is what it costs.
	Payload []byte
}

func (i *Item) size() int { return len(i.Payload) }

// Scheduler holds the queues and the bucket.
type Scheduler struct {
	cfg    Config
	bucket bucket
	peers  map[model.NodeID]*peerQueue
	// order is the round robin's order; next is where each priority goes on.
	order []*peerQueue
	next  [message.NumPriorities]int
	// passed counts the messages in a row of each priority that went while
	// one of the next lower priority waited.
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

// Push queues an item. A waiting item with the same peer and key is replaced
// in place, or removed when its priority differs. When the peer's queue is then
// over its bounds, the oldest items of the lowest priority are dropped and
// returned; that may be the new one.
func (s *Scheduler) Push(item Item) (dropped []Item) {
	q := s.peers[item.Peer]
	if q == nil {
		q = &peerQueue{peer: item.Peer}
		s.peers[item.Peer] = q
		s.order = append(s.order, q)
	}
	q.put(item)
	for q.count > s.cfg.PeerMessages || q.bytes > s.cfg.PeerBytes {
		dropped = append(dropped, q.dropOldest())
	}
	return dropped
}

// Pop takes the next item. With ok false nothing may be sent now: wait is the
// time until the budget allows the next item, or 0 when no item waits.
func (s *Scheduler) Pop(now time.Time) (item Item, wait time.Duration, ok bool) {
	s.bucket.refill(now)
	p, owed := s.choose()
	if p == message.NumPriorities {
		return Item{}, 0, false
	}
	at := s.find(p)
	q := s.order[at]
	size := q.items[p][0].size()
	overdraw := p == message.Urgent || owed
	if wait := s.bucket.wait(size, overdraw); wait > 0 {
		return Item{}, wait, false
	}
	s.bucket.take(size)
	s.count(p)
	s.next[p] = (at + 1) % len(s.order)
	return q.take(p), 0, true
}

// Block holds back the items of a peer that can't take one now.
func (s *Scheduler) Block(peer model.NodeID) {
	if q := s.peers[peer]; q != nil {
		q.blocked = true
	}
}

// Unblock ends Block.
func (s *Scheduler) Unblock(peer model.NodeID) {
	if q := s.peers[peer]; q != nil {
		q.blocked = false
	}
}

// Remove drops a peer's queue and returns the number of items in it.
func (s *Scheduler) Remove(peer model.NodeID) int {
	q := s.peers[peer]
	if q == nil {
		return 0
	}
	delete(s.peers, peer)
	for i, other := range s.order {
		if other == q {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	return q.count
}

// Len returns the number of items that wait for all peers.
func (s *Scheduler) Len() int {
	n := 0
	for _, q := range s.order {
		n += q.count
	}
	return n
}

// choose returns the priority whose turn it is, or NumPriorities when nothing
// waits. owed is set for a turn that normal got by being passed over: it may
// overdraw like the urgent messages in whose place it goes.
func (s *Scheduler) choose() (p message.Priority, owed bool) {
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

// count notes that an item of the priority goes.
func (s *Scheduler) count(p message.Priority) {
	if p > 0 {
		s.passed[p-1] = 0
	}
	if lower := p + 1; lower < message.NumPriorities && s.waits(lower) {
		s.passed[p]++
	}
}

func (s *Scheduler) waits(p message.Priority) bool { return s.find(p) >= 0 }

// find returns the place in the order of the peer whose turn it is in the
// priority, or -1.
func (s *Scheduler) find(p message.Priority) int {
	for i := range s.order {
		at := (s.next[p] + i) % len(s.order)
		q := s.order[at]
		if !q.blocked && len(q.items[p]) > 0 {
			return at
		}
	}
	return -1
}
