// Package link manages a node's connections to its peers: it dials and accepts,
// exchanges Hello and Welcome, keeps one connection for each peer, sends
// messages within the byte budget and hands what arrives to the node's event
// loop.
//
// # Events
//
// For each peer the events come in the order PeerUp, Received..., PeerDown. A
// second PeerUp for a peer that is up brings newer facts about it: a dialled
// connection may complete after the peer's own did, and only the dialling side
// is Welcomed. Events wait in a bounded channel. When it is full, nothing more
// is read from the peers, whose own queues then fill; no event is dropped.
//
// # Two connections
//
// When two nodes dial each other at once, both connections come up. Both nodes
// then send on the one dialled by the node with the lower key and go on reading
// the other one until it is closed after the handshake timeout, so that nothing
// is lost. Messages may cross while that lasts. A connection that comes too late
// to have crossed, or from a newer incarnation, shows that the peer has lost
// the old one: PeerDown and PeerUp follow.
package link

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/coordination/budget"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// Config configures a Manager.
type Config struct {
	// Transport carries the messages. Its owner closes it after Run returned.
	Transport peer.Transport
	// Node is the own node.
	Node model.NodeID
	// Self returns the Hello for a connection that is being opened to a peer,
	// whose name is empty for a seed. It is called from other goroutines than
	// the event loop.
	Self func(to model.NodeID) message.Hello
	// Welcome returns the answer to a Hello, or nil to refuse the peer for
	// now. It is called from other goroutines than the event loop.
	Welcome func(h *message.Hello) *message.Welcome
	// Budget bounds the bytes sent. Hello and Welcome are not counted in it.
	Budget budget.Config
	// Logger gets an event=peer_refused for each refused peer.
	Logger log.Logger
	// Metrics gets the counters and gauges. Each manager needs its own set.
	Metrics *metrics.Set
	// MaxPeers bounds the peers, and with them memory.
	MaxPeers int
	// HandshakeTimeout bounds Hello and Welcome, and how long a superseded
	// connection is still read.
	HandshakeTimeout time.Duration
	// SendTimeout is how long a peer may take to accept one message before
	// its connection is closed.
	SendTimeout time.Duration
	// EventQueue is the number of events that wait for the event loop.
	EventQueue int
}

// Defaults of Config.
const (
	defaultMaxPeers         = 64
	defaultHandshakeTimeout = 3 * time.Second
	defaultSendTimeout      = 10 * time.Second
	defaultEventQueue       = 256
)

// DefaultConfig returns the defaults, without a transport, node and callbacks.
func DefaultConfig() Config {
	return Config{
		Budget:           budget.DefaultConfig(),
		Logger:           log.NewNopLogger(),
		Metrics:          metrics.NewSet(),
		MaxPeers:         defaultMaxPeers,
		HandshakeTimeout: defaultHandshakeTimeout,
		SendTimeout:      defaultSendTimeout,
		EventQueue:       defaultEventQueue,
	}
}
