// Package link manages a node's connections to its peers: it dials and accepts,
// exchanges Hello and Welcome, keeps one connection for each peer, sends
// messages within the byte budget and passes received messages to the node's
// event loop.
//
// # Events
//
// For each peer the events come in the order PeerUp, Received..., PeerDown. A
// further PeerUp for a connected peer carries newer information about it: a
// connection dialled by this node may complete after one dialled by the peer,
// and only the dialling side receives a Welcome. Events wait in a bounded
// channel. While it is full, the manager reads nothing from the peers, whose
// send queues then fill (backpressure). No event is dropped.
//
// # Simultaneous dials
//
// When two nodes dial each other at once, both connections are established.
// Both nodes then send on the one dialled by the node with the lower key. They
// continue to read the other one until it is closed after the handshake timeout,
// so that no message is lost. During that time messages may overtake one another.
// A connection that is established too late to result from a simultaneous dial,
// or that comes from a newer incarnation, shows that the peer has lost the old
// one: PeerDown and PeerUp follow.
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
	// Transport carries the messages. The caller closes it after Run has
	// returned.
	Transport peer.Transport
	// Node is this node.
	Node model.NodeID
	// Hello returns the Hello for a connection that is being opened to the node
	// to, which is empty for a seed. It is called from goroutines other than
	// the event loop.
	Hello func(to model.NodeID) message.Hello
	// Welcome returns the response to a Hello, or nil to refuse the peer for
	// now. It is called from goroutines other than the event loop.
	Welcome func(h *message.Hello) *message.Welcome
	// Budget limits the bytes sent. Hello and Welcome do not count towards it.
	Budget budget.Config
	// Logger receives a line with event=peer_refused for each refused peer.
	Logger log.Logger
	// Metrics receives the counters and gauges. Each manager needs its own set.
	Metrics *metrics.Set
	// MaxPeers limits the number of peers, and so the memory used.
	MaxPeers int
	// HandshakeTimeout limits the time to connect and to exchange Hello and
	// Welcome, and is how long a superseded connection is still read.
	HandshakeTimeout time.Duration
	// SendTimeout is how long a peer may take to accept one message before
	// its connection is closed.
	SendTimeout time.Duration
	// EventQueue is the maximum number of events that wait for the event loop.
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
