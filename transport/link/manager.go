package link

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/budget"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// maxHandshakes limits the concurrent handshakes of accepted connections, so that
// a burst of joining nodes waits in the transport's backlog and not in memory.
const maxHandshakes = 16

// Manager manages the connections of one node. Its methods are safe for
// concurrent use. Except for Run and Flush they do not block on peers.
type Manager struct {
	cfg        Config
	meter      meter
	unreadable *unreadableLog
	events     chan core.Event
	// wake signals the sender that the queue or a peer has changed.
	wake chan struct{}
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	peers   map[model.NodeID]*remote
	dialing map[string]bool
	queue   *budget.Scheduler
	closed  bool
	// writing is the number of messages that the peers' writers hold. progress
	// is closed to wake Flush, and not nil only while Flush waits.
	writing  int
	progress chan struct{}
	tasks    sync.WaitGroup
}

// New returns a manager. Before Run it neither accepts connections nor sends
// queued messages, but Connect already dials.
func New(cfg Config) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		cfg:        cfg,
		unreadable: newUnreadableLog(cfg.Logger),
		events:     make(chan core.Event, cfg.EventQueue),
		wake:       make(chan struct{}, 1),
		ctx:        ctx,
		stop:       stop,
		peers:      make(map[model.NodeID]*remote),
		dialing:    make(map[string]bool),
		queue:      budget.New(cfg.Budget, time.Now()),
	}
	m.meter = newMeter(m)
	return m
}

// Events returns the channel of core.PeerUp, PeerDown, DialFailed and Received
// events. The event loop must go on reading it until Run has returned.
func (m *Manager) Events() <-chan core.Event { return m.events }

// Run accepts connections and sends messages until ctx ends. It then closes
// all connections and waits for its goroutines. It returns ctx's error, or
// peer.ErrClosed if the transport is closed. A connection that can't be accepted
// doesn't end it.
func (m *Manager) Run(ctx context.Context) error {
	unhook := context.AfterFunc(ctx, m.stop)
	defer unhook()
	m.goTask(m.sendAll)
	err := m.acceptAll()
	m.stop()
	m.shutdown()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// shutdown closes all connections and waits for the goroutines.
func (m *Manager) shutdown() {
	m.mu.Lock()
	m.closed = true
	for _, r := range m.peers {
		r.closeAll()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}

// goTask runs f in a goroutine that Run waits for. It does nothing once the
// manager has stopped.
func (m *Manager) goTask(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.tasks.Go(f)
	}
}

// emit queues an event for the event loop. It waits while the queue is full.
func (m *Manager) emit(e core.Event) {
	select {
	case m.events <- e:
	case <-m.ctx.Done():
	}
}

// Connect dials a peer. node is empty for a seed, whose name is not yet known.
// The result is a PeerUp or a DialFailed event. A peer that is already connected
// is not dialled; its PeerUp is emitted again. If a dial to the same address is
// in progress, its event is the result of both calls.
func (m *Manager) Connect(node model.NodeID, addr string) {
	m.mu.Lock()
	r := m.peers[node]
	connected := r != nil && !r.closing
	pending := m.dialing[addr]
	if !connected {
		m.dialing[addr] = true
	}
	m.mu.Unlock()
	switch {
	case connected:
		m.goTask(func() { m.reemitUp(r) })
	case !pending:
		m.goTask(func() { m.dial(node, addr) })
	}
}

// Disconnect closes the connections to a peer. A PeerDown event follows.
func (m *Manager) Disconnect(node model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.peers[node]; r != nil {
		r.closeAll()
	}
}

// Send queues a message for a peer. The message is dropped, and counted as
// dropped, if the peer is not connected or its queue is full of more urgent
// messages. Send only returns an error if the message can't be encoded.
func (m *Manager) Send(to model.NodeID, priority message.Priority, msg message.Message) error {
	payload, err := message.Encode(msg)
	if err != nil {
		return err
	}
	item := budget.Item{Peer: to, Priority: priority, Key: replacementKey(msg), Payload: payload}
	m.mu.Lock()
	r := m.peers[to]
	if r == nil || r.closing {
		m.mu.Unlock()
		m.meter.dropped("not_connected", 1)
		return nil
	}
	dropped := m.queue.Push(item)
	m.mu.Unlock()
	m.meter.dropped("queue_full", len(dropped))
	m.wakeSender()
	return nil
}

// wakeSender wakes the sender. It does not block.
func (m *Manager) wakeSender() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// acceptAll accepts connections until the manager stops or the transport fails.
func (m *Manager) acceptAll() error {
	slots := make(chan struct{}, maxHandshakes)
	for {
		select {
		case slots <- struct{}{}:
		case <-m.ctx.Done():
			return m.ctx.Err()
		}
		c, err := m.cfg.Transport.Accept(m.ctx)
		if is[*peer.AcceptError](err) {
			<-slots
			m.acceptFailed(err)
			continue
		}
		if err != nil {
			return err
		}
		m.goTask(func() { m.accept(c, func() { <-slots }) })
	}
}

// acceptRetryDelay is the delay before connections are accepted again after a failure. Failures
// last for as long as the process has no file descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// acceptFailed logs and counts a connection that could not be accepted, and waits before the next
// attempt.
func (m *Manager) acceptFailed(err error) {
	m.meter.acceptFailed()
	m.cfg.Logger.Log("event", "peer_accept_failed", "err", err)
	select {
	case <-time.After(acceptRetryDelay):
	case <-m.ctx.Done():
	}
}

// dial opens a connection and serves it until it ends. It emits DialFailed if
// the connection can't be opened.
func (m *Manager) dial(node model.NodeID, addr string) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.HandshakeTimeout)
	l, err := m.open(ctx, node, addr)
	cancel()
	if err == nil {
		err = m.addLink(l)
	}
	m.mu.Lock()
	delete(m.dialing, addr)
	m.mu.Unlock()
	if err != nil {
		m.recordRefusal(node, addr, err)
		m.emit(core.DialFailed{Node: node, Addr: addr})
		return
	}
	m.serve(l)
}

// accept completes the handshake of an accepted connection and serves the
// connection until it ends. It calls release after the handshake.
func (m *Manager) accept(c peer.Conn, release func()) {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.HandshakeTimeout)
	l, err := m.handshakeAccepted(ctx, c)
	cancel()
	if err == nil {
		err = m.addLink(l)
	}
	release()
	if err != nil {
		c.Close()
		m.recordRefusal(c.Peer(), c.RemoteAddr(), err)
		return
	}
	m.serve(l)
}

// recordRefusal logs and counts a refused peer. It ignores errors that are not a
// refusal, such as a closed connection.
func (m *Manager) recordRefusal(node model.NodeID, addr string, err error) {
	reason := refusalReason(err)
	if reason == "" {
		return
	}
	m.meter.refused(reason)
	m.cfg.Logger.Log("event", "peer_refused", "reason", reason, "node", string(node), "addr", addr, "err", err)
}
