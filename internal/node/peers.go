package node

import (
	"context"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/transport/listen"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/link"
	"github.com/jacinthgate/jacinthgate/transport/peer/quic"
)

// openPeers opens the UDP address for control traffic.
func (n *Node) openPeers() error {
	cfg := quic.DefaultConfig()
	cfg.ListenAddr = n.set.Listen.Peer
	// Probing for larger packets costs each new connection several of the
	// largest size, and control messages gain nothing by them.
	cfg.DisablePathMTUDiscovery = true
	n.identity.configurePeers(&cfg)
	t, err := quic.New(cfg)
	if err != nil {
		return &listen.Error{Name: "peer", Addr: n.set.Listen.Peer, Err: err}
	}
	n.peers = t
	n.countPeers()
	return nil
}

// countPeers shows the control traffic as it is on the wire, in UDP payloads.
func (n *Node) countPeers() {
	count := func(name string, read func(quic.Stats) uint64) {
		n.metrics.NewGauge(name, func() float64 { return float64(read(n.peers.Stats())) })
	}
	count(`jacinthgate_peer_bytes_total{direction="out"}`, func(s quic.Stats) uint64 { return s.BytesSent })
	count(`jacinthgate_peer_bytes_total{direction="in"}`, func(s quic.Stats) uint64 { return s.BytesReceived })
	count(`jacinthgate_peer_packets_total{direction="out"}`, func(s quic.Stats) uint64 { return s.PacketsSent })
	count(`jacinthgate_peer_packets_total{direction="in"}`, func(s quic.Stats) uint64 { return s.PacketsReceived })
}

// configurePeers sets the certificates for connections between nodes.
func (i *identity) configurePeers(cfg *quic.Config) {
	if i.keys == nil {
		cfg.Insecure = true
		cfg.ServerTLS = i.insecure.ServerConfig()
		cfg.ClientTLS = i.insecure.ClientConfig()
		return
	}
	cfg.ServerTLS = i.keys.ServerConfig()
	cfg.ClientTLS = i.keys.ClientConfig("")
}

// peersHeadroom is how many times limits.maxPeers the links take, so that the
// membership core decides whom to turn away, and names other members to it.
const peersHeadroom = 2

func (n *Node) newLinks() *link.Manager {
	cfg := link.DefaultConfig()
	cfg.Transport = n.peers
	cfg.Node = n.set.Node
	cfg.Hello = n.hello
	cfg.Welcome = n.welcome
	cfg.Budget.BytesPerSecond = float64(n.set.Control.BytesPerSecond)
	cfg.Budget.Burst = float64(n.set.Control.BurstBytes)
	cfg.Logger = n.log
	cfg.Metrics = n.metrics
	cfg.MaxPeers = peersHeadroom * n.set.Limits.MaxPeers
	return link.New(cfg)
}

// hello is the first message to a peer that this node dials. The links call it
// from their own goroutines.
func (n *Node) hello(to model.NodeID) message.Hello {
	h := n.pub.selfState.Load().hello()
	h.To = to
	h.LastHeld, _ = eventqueue.Ask(n.ctx, n.loop.queue, func() uint64 { return n.loop.dist.LastHeldOf(to) })
	return h
}

// welcome answers a Hello with what this node knows of its sender. The links
// call it from their own goroutines; nil refuses the peer while the node stops.
func (n *Node) welcome(h *message.Hello) *message.Welcome {
	w, _ := eventqueue.Ask(n.ctx, n.loop.queue, func() *message.Welcome {
		w, id := n.pub.selfState.Load().welcome(), h.Record.Node
		w.LastHeld = n.loop.dist.LastHeldOf(id)
		w.Incarnation = n.loop.member.IncarnationOf(id)
		w.Drained = n.loop.drainedBefore(h.Record)
		return w
	})
	return w
}

// runLinks runs the links until ctx ends and then lets the event loop end.
func (n *Node) runLinks(ctx context.Context) error {
	defer close(n.loop.linksDone)
	err := n.links.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
