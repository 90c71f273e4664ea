package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/budget"
	"github.com/jacinthgate/jacinthgate/coordination/departure"
	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/coordination/evacuation"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/link"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/peer/tcp"
)

func (n *Node) openPeers() error {
	cfg := tcp.DefaultConfig()
	cfg.ListenAddr = n.set.Listen.Peers
	t, err := tcp.New(cfg)
	if err != nil {
		return &listen.Error{Name: "peers", Addr: n.set.Listen.Peers, Err: err}
	}
	n.peers = t
	n.set.Listen.Peers = t.Addr()
	return nil
}

// wireControl wires the control plane: links, cores, event loop, reader.
func (n *Node) wireControl() error {
	self := endpoint.Record{
		Node:        n.set.Node,
		Zone:        n.set.Zone,
		Region:      n.set.Region,
		PeerAddr:    n.set.peersAddr(),
		GateAddr:    n.set.gateAddr(),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	seed := rand.Uint64()
	l := &loop{
		self:      self,
		log:       n.log,
		stateLog:  n.stateLog,
		metrics:   n.metrics,
		pub:       n.pub,
		queue:     eventqueue.New(maxEvents),
		member:    member.New(memberConfig(), self, nil, seed),
		docs:      docsync.New(n.docsConfig(), self, seed),
		suspects:  quarantine.New(seed),
		rollouts:  rollout.New(n.set.rollouts(), self.Node, self.Incarnation, seed),
		evacuated: evacuation.New(seed),
		departed:  departure.New(n.departureConfig(), self.Node, seed),
		meter:     new(rollout.Meter),
		proving:   newProving(n.set, seed),
		lives:     restore.New(restore.DefaultConfig(), seed),
		linksDone: make(chan struct{}),
		flush:     time.NewTimer(time.Hour),

		unrecorded: make(chan suspect.Fingerprint, maxUnrecorded),
		records:    make(chan rollout.Record, maxRecords),
		life:       n.store.Life,

		storeDeparture: n.storeDeparture,
		rewrites:       make(chan uint64, 1),
	}
	n.loop = l
	if l.proving != nil {
		n.metrics.GetOrCreateGauge("jacinthgate_proof_age_seconds", l.proving.age)
	}
	n.backends = &backends{
		pub:     n.pub,
		log:     n.log,
		node:    string(n.set.Node),
		ttl:     missedHeartbeats*n.set.heartbeat() + heartbeatLag,
		record:  n.recordDrain,
		changed: n.announce,
		// The gate is wired after the control plane, before anything runs.
		restarted:      func(key string) { n.gate.Restarted(key) },
		awaitAnnounced: n.awaitAnnounced,
		leaving: func(key string) {
			n.loop.queue.Post(n.ctx, departure.Leaving{Instance: key, Incarnation: self.Incarnation})
		},
		unsettled:    true,
		confirmation: departure.NewConfirmation(n.set.heartbeat()),
		checkHealth:  n.healthCheck(),
		healthPath:   func(service string) string { return n.pub.serviceConfig(service).HealthPath },
		confirmed:    func() { n.loop.queue.Post(n.ctx, backendConfirmed{}) },
	}
	n.backends.setService(n.set.Service)
	l.backends = n.backends
	l.reader = newReader(platform.NewConfigs(n.store), l, n.stateLog)
	l.reader.setSchedule(l.docs.Schedule(feedWait))
	l.links = n.newLinks()
	n.links = l.links
	return nil
}

const (
	// siteReaders is the number of nodes that read the store for the whole
	// site: a store that serves only some hosts, such as two thirds of them,
	// then serves one of these in all likelihood.
	siteReaders = 6
	// minReaders and maxReaders bound them for one availability zone.
	minReaders = 2
	maxReaders = 4
)

// joinTime is the time allowed for a starting node to find a peer that has the configuration:
// some milliseconds for the store and the handshake, six times as long on a sixth of a core.
const joinTime = 300 * time.Millisecond

// firstStartJoinTime is the time allowed where the whole site starts for the first time: all nodes
// look for each other at once, and no caller needs the configuration yet.
const firstStartJoinTime = 2 * time.Second

// docsConfig returns the parameters of how the configuration is read.
func (n *Node) docsConfig() docsync.Config {
	cfg := docsync.DefaultConfig()
	zones := max(1, len(n.set.Zones))
	cfg.Zones = zones
	cfg.ZoneIndex = max(0, slices.Index(slices.Sorted(maps.Keys(n.set.Zones)), n.set.Zone))
	cfg.Leaders = min(max((siteReaders+zones-1)/zones, minReaders), maxReaders)
	cfg.FirstStart = n.set.FirstStart
	cfg.ReadDelay = joinTime
	if n.set.FirstStart {
		cfg.ReadDelay = n.startDelay + firstStartJoinTime
	}
	return cfg
}

// departureConfig returns the parameters of how departures are remembered.
func (n *Node) departureConfig() departure.Config {
	cfg := departure.DefaultConfig()
	cfg.FirstStart = n.set.FirstStart
	cfg.Zone = n.set.Zone
	return cfg
}

// memberConfig returns the parameters of membership.
func memberConfig() member.Config {
	cfg := member.DefaultConfig()
	// The bounds on drains and on entries of returned servers are about two
	// seconds, so members are watched more closely than the default.
	cfg.HeartbeatInterval = 700 * time.Millisecond
	cfg.SuspectAfter = 2500 * time.Millisecond
	cfg.ConnectTimeout = 2 * time.Second
	cfg.BackoffMax = 2 * time.Second
	cfg.UnlinkedZoneDelay = 2 * time.Second
	cfg.RejoinInterval = 3 * time.Second
	cfg.ConnectsPerSecond = 10
	cfg.ConnectBurst = 20
	cfg.DigestInterval = 3 * time.Second
	cfg.RequestTimeout = time.Second
	// Links no longer wanted while the fleet grows carry each record once more: close them early.
	cfg.LinkLinger = 3 * time.Second
	return cfg
}

// linkBytesPerSecond bounds the bytes that a node sends to its peers. It is a
// bound for the worst, not the usual: a storm of a configuration of 30 KB every
// 0.26 s, packed to a half, to six peers, with room for what else is urgent.
// The mean stays within the 8 KB/s of the design size.
const linkBytesPerSecond = 1 << 20

// linkBudget bounds the bytes that a node sends to its peers.
func linkBudget() budget.Config {
	cfg := budget.DefaultConfig()
	cfg.BytesPerSecond = linkBytesPerSecond
	return cfg
}

func (n *Node) newLinks() *link.Manager {
	cfg := link.DefaultConfig()
	cfg.Budget = linkBudget()
	cfg.Transport = n.peers
	cfg.Node = n.set.Node
	cfg.Hello = func(to model.NodeID) message.Hello { return n.loop.hello(n.ctx, to) }
	cfg.Welcome = func(h *message.Hello) *message.Welcome { return n.loop.welcome(n.ctx, h) }
	cfg.HandshakeTimeout = time.Second
	cfg.SendTimeout = 2 * time.Second
	cfg.Logger = n.log
	cfg.Metrics = n.metrics
	return link.New(cfg)
}

// runLinks runs the links until ctx ends and then lets the event loop end. The
// transport ends with ctx, so that a peer that is silent in its handshake doesn't
// hold up the end of the process.
func (n *Node) runLinks(ctx context.Context) error {
	defer close(n.loop.linksDone)
	stop := context.AfterFunc(ctx, func() { _ = n.peers.Close() }) // the process is about to end
	defer stop()
	err := n.links.Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// announce tells the fleet what the host's backend server said. Nil withdraws
// it.
func (n *Node) announce(i *instance.Instance) {
	n.gate.Update()
	n.loop.queue.Post(n.ctx, n.pub.announcement(i, time.Now()))
}

// announceTimeout bounds how long an acknowledgement waits for the event loop. Backend servers
// wait for a second.
const announceTimeout = 200 * time.Millisecond

// handled is an event that is closed by the loop: all events posted before it have been handled
// by then.
type handled chan struct{}

// Event implements core.Event.
func (handled) Event() {}

// awaitAnnounced waits until the event loop has handled what was announced before, so that this
// node itself sends by it.
func (n *Node) awaitAnnounced() {
	ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
	defer cancel()
	done := make(handled)
	n.loop.queue.Post(ctx, done)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// announcement returns the announcement of the host's backend server; nil withdraws it.
func (p *published) announcement(i *instance.Instance, now time.Time) member.Announce {
	a := member.Announce{Unready: p.withdrawn.Load()}
	if i != nil {
		a.Service, a.Version, a.Slots, a.Instance = i.Service, i.Version, i.Slots, i.Key()
		a.Connections = i.Slots
		a.Draining = i.State != instance.Ready
		a.Cold = p.cold(i, now)
	}
	return a
}
