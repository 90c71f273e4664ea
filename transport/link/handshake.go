package link

import (
	"context"
	"math"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// open dials a node and completes the handshake.
func (m *Manager) open(ctx context.Context, node model.NodeID, addr string) (*link, error) {
	c, err := m.cfg.Transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	l, err := m.handshakeDialled(ctx, c, node)
	if err != nil {
		c.Close()
		return nil, err
	}
	return l, nil
}

// handshakeDialled sends Hello on a dialled connection and reads the Welcome.
func (m *Manager) handshakeDialled(ctx context.Context, c peer.Conn, node model.NodeID) (*link, error) {
	hello := m.cfg.Hello(node)
	if err := m.sendUnqueued(ctx, c, &hello); err != nil {
		return nil, err
	}
	msg, err := m.receive(ctx, c, node)
	if err != nil {
		return nil, err
	}
	w, ok := msg.(*message.Welcome)
	if !ok {
		return nil, &UnexpectedError{Kind: msg.Kind()}
	}
	if err := m.checkPeer(c, node, w.Protocol, w.Record); err != nil {
		return nil, err
	}
	up := core.PeerUp{
		Record: w.Record, Held: w.Held, Ready: w.Ready, Digest: w.Digest,
		Welcomed: true, LastHeldValid: true, LastHeld: w.LastHeld, Incarnation: w.Incarnation, Drained: w.Drained,
		DrainedInstance: w.DrainedInstance, Remembers: remembers(w.RemembersMillis),
	}
	return &link{conn: c, dialled: true, up: up}, nil
}

// handshakeAccepted reads the Hello on an accepted connection and sends the
// Welcome.
func (m *Manager) handshakeAccepted(ctx context.Context, c peer.Conn) (*link, error) {
	msg, err := m.receive(ctx, c, "")
	if err != nil {
		return nil, err
	}
	h, ok := msg.(*message.Hello)
	if !ok {
		return nil, &UnexpectedError{Kind: msg.Kind()}
	}
	if err := m.checkPeer(c, "", h.Protocol, h.Record); err != nil {
		return nil, err
	}
	if err := m.checkPeerLimit(h.Record.Node); err != nil {
		return nil, err
	}
	w := m.cfg.Welcome(h)
	if w == nil {
		return nil, &NotWelcomeError{}
	}
	if err := m.sendUnqueued(ctx, c, w); err != nil {
		return nil, err
	}
	up := core.PeerUp{
		Record: h.Record, Held: h.Held, Ready: h.Ready, Digest: h.Digest,
		LastHeld: h.LastHeld, LastHeldValid: h.To == m.cfg.Node, Remembers: remembers(h.RemembersMillis),
	}
	if h.To == m.cfg.Node {
		up.Drained, up.DrainedInstance = h.Drained, h.DrainedInstance
	}
	return &link{conn: c, up: up}, nil
}

// maxRemembersMillis is the longest memory of departures that a time.Duration holds.
const maxRemembersMillis = math.MaxInt64 / uint64(time.Millisecond)

// remembers returns how far back a peer's memory of departures reaches.
func remembers(millis uint64) time.Duration {
	return time.Duration(min(millis, maxRemembersMillis)) * time.Millisecond
}

// checkPeer returns an error for a peer that uses another protocol version, whose
// identity does not match, or that is this node itself.
func (m *Manager) checkPeer(c peer.Conn, dialled model.NodeID, protocol uint16, r endpoint.Record) error {
	if protocol != message.ProtocolVersion {
		return &VersionError{Have: protocol}
	}
	refused := &IdentityError{Claimed: r.Node, Certificate: c.Peer(), Dialled: dialled}
	if r.Node == "" {
		return refused
	}
	if c.Peer() != "" && c.Peer() != r.Node {
		return refused
	}
	if r.Node == m.cfg.Node {
		return &SelfError{}
	}
	if dialled != "" && dialled != r.Node {
		return refused
	}
	return nil
}

// checkPeerLimit returns a *MaxPeersError if the node would be a new peer beyond
// MaxPeers.
func (m *Manager) checkPeerLimit(node model.NodeID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[node] == nil && len(m.peers) >= m.cfg.MaxPeers {
		return &MaxPeersError{Max: m.cfg.MaxPeers}
	}
	return nil
}

// sendUnqueued sends a message directly, outside the queue and its budget.
func (m *Manager) sendUnqueued(ctx context.Context, c peer.Conn, msg message.Message) error {
	payload, err := message.Encode(msg)
	if err != nil {
		return err
	}
	m.meter.bytes("out", payload)
	return c.Send(ctx, payload)
}

// receive reads and decodes one message of a peer, which is empty if it isn't known yet.
func (m *Manager) receive(ctx context.Context, c peer.Conn, from model.NodeID) (message.Message, error) {
	payload, err := c.Receive(ctx)
	if err != nil {
		return nil, err
	}
	m.meter.bytes("in", payload)
	return m.decode(payload, c, from)
}
