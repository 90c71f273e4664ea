// Package memory implements peer.Transport within one process, for tests. A
// Network connects the transports. Tests can partition it between sets of
// addresses, heal the partition and drop connections. All waiting is on channels
// and timers, so that a test can run in a testing/synctest bubble.
package memory

import (
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// DefaultIdleTimeout is how long a connection stays open across a cut, unless
// SetIdleTimeout changes it.
const DefaultIdleTimeout = 5 * time.Second

// acceptBacklog is the maximum number of connections that wait for Accept.
const acceptBacklog = 64

// link is an unordered pair of addresses.
type link struct{ low, high string }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{low: a, high: b}
}

// Network connects transports by their addresses. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	idleTimeout time.Duration
	transports  map[string]*Transport
	pipes       map[*pipe]struct{}
	cuts        map[link]bool
	// changed is closed and replaced whenever cuts changes.
	changed chan struct{}
}

// NewNetwork returns a network without transports and without cuts.
func NewNetwork() *Network {
	return &Network{
		idleTimeout: DefaultIdleTimeout,
		transports:  make(map[string]*Transport),
		pipes:       make(map[*pipe]struct{}),
		cuts:        make(map[link]bool),
		changed:     make(chan struct{}),
	}
}

// Transport adds a transport for the node id at addr. It closes the previous
// transport at that address, as a restart of the node would. An empty id stands
// for a node without a certificate.
func (n *Network) Transport(id model.NodeID, addr string) *Transport {
	t := &Transport{
		net:     n,
		id:      id,
		addr:    addr,
		backlog: make(chan *conn, acceptBacklog),
		done:    make(chan struct{}),
	}
	n.mu.Lock()
	old := n.transports[addr]
	n.transports[addr] = t
	n.mu.Unlock()
	if old != nil {
		old.shutdown()
	}
	return t
}

// SetIdleTimeout sets how long a connection stays open across a cut. It applies
// to cuts made from then on.
func (n *Network) SetIdleTimeout(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idleTimeout = d
}

// Cut stops all traffic between the addresses of a and those of b. Messages in
// flight are withheld. A connection that is still cut after the idle timeout
// fails on both sides; a dial across the cut waits until its context ends.
func (n *Network) Cut(a, b []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range pairs(a, b) {
		n.cuts[l] = true
	}
	n.notifyLocked()
	for p := range n.pipes {
		if n.cuts[p.link()] && p.expiry == nil {
			p.expiry = time.AfterFunc(n.idleTimeout, p.close)
		}
	}
}

// Heal ends the cuts between the addresses of a and those of b. Messages that
// were withheld on connections that still exist are delivered.
func (n *Network) Heal(a, b []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range pairs(a, b) {
		delete(n.cuts, l)
	}
	n.notifyLocked()
	for p := range n.pipes {
		if !n.cuts[p.link()] && p.expiry != nil {
			p.expiry.Stop()
			p.expiry = nil
		}
	}
}

// Drop closes the connections between the addresses of a and those of b and
// returns their number. Both sides see the connection closed at once.
func (n *Network) Drop(a, b []string) int {
	dropped := 0
	for _, l := range pairs(a, b) {
		for _, p := range n.pipesOf(l) {
			p.close()
			dropped++
		}
	}
	return dropped
}

func (n *Network) pipesOf(l link) []*pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*pipe
	for p := range n.pipes {
		if p.link() == l {
			found = append(found, p)
		}
	}
	return found
}

// notifyLocked wakes all goroutines that wait for a change of the cuts.
func (n *Network) notifyLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// cutState reports whether the link is cut, and returns a channel that is closed
// when the cuts change.
func (n *Network) cutState(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l], n.changed
}

func (n *Network) transportAt(addr string) *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transports[addr]
}

func (n *Network) addPipe(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pipes[p] = struct{}{}
	if n.cuts[p.link()] {
		p.expiry = time.AfterFunc(n.idleTimeout, p.close)
	}
}

func (n *Network) removePipe(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pipes, p)
	if p.expiry != nil {
		p.expiry.Stop()
	}
}

func (n *Network) removeTransport(t *Transport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.transports[t.addr] == t {
		delete(n.transports, t.addr)
	}
}

// pairs returns the links between each address of a and each different address
// of b.
func pairs(a, b []string) []link {
	var all []link
	for _, x := range a {
		for _, y := range b {
			if x != y {
				all = append(all, linkOf(x, y))
			}
		}
	}
	return all
}
