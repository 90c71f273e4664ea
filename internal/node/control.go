package node

import (
	"context"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/coordination/lease"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/internal/control"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

// wireControl wires the control plane: transport, links, cores, event loop.
func (n *Node) wireControl() error {
	if err := n.openPeers(); err != nil {
		return err
	}
	n.self = n.record(n.peers.Addr())
	table, objects := n.platformClients()
	n.keeper = n.newKeeper(table)
	accepting := control.DefaultConfig()
	accepting.Held = n.pub.Snapshot
	n.accepter = control.NewAccepter(accepting, table, objects)
	n.collector = control.NewCollector(control.DefaultCollectorConfig(), table, objects)
	n.registry = local.New(local.DefaultConfig())
	n.limiter = admit.New(admit.DefaultConfig(), n.seed())
	n.loop = n.newLoop()
	n.loop.platform = &platformIO{
		ctx:      n.ctx,
		table:    table,
		reader:   control.NewReader(table, objects),
		leaseKey: leasePrefix + string(n.set.Zone),
		timeout:  n.set.Platform.Timeout.Std(),
		post:     n.loop.queue.Post,
		log:      n.log,
		metrics:  n.metrics,
	}
	n.links = n.newLinks()
	n.loop.links = n.links
	return nil
}

func (n *Node) newLoop() *loop {
	l := &loop{
		queue:     eventqueue.New(maxEvents),
		linksDone: make(chan struct{}),
		flush:     time.NewTimer(time.Hour),
		member:    member.New(n.memberConfig(), n.self, n.set.Seeds, n.seed()),
		dist:      distribute.New(n.distributeConfig(), n.self, n.seed()),
		lease:     lease.New(n.leaseConfig(), n.self, n.seed()),
		suspects:  quarantine.New(n.seed()),
		shares:    newShares(n.set.Node, n.set.Zone, n.limiter),
		pub:       n.pub,
		onSwap:    n.swapped,
		onView:    n.viewed,
		// The registry answers with an event, which the loop must be free for.
		onDrained: func() { go n.registry.RestoreDrain() },
		started:   time.Now(),
		log:       n.log,
	}
	l.publish()
	return l
}

func (n *Node) memberConfig() member.Config {
	cfg := member.DefaultConfig()
	// A tick longer, so that a link that carries the reader's beacons needs no
	// heartbeats.
	cfg.HeartbeatInterval = n.set.Control.BeaconInterval.Std() + eventqueue.TickInterval
	cfg.SuspicionTimeout = n.set.Control.SuspicionTimeout.Std()
	cfg.BatchDelay = n.set.Control.Debounce.Std()
	cfg.MaxPeers = n.set.Limits.MaxPeers
	return cfg
}

func (n *Node) distributeConfig() distribute.Config {
	cfg := distribute.DefaultConfig()
	cfg.PollInterval = n.set.Control.PollInterval.Std()
	cfg.BeaconInterval = n.set.Control.BeaconInterval.Std()
	cfg.MergeInterval = n.set.Control.MergeInterval.Std()
	cfg.Check = (*snapshot.Snapshot).ValidateDocuments
	return cfg
}

// leaseRenewals is the number of renewals in the life of a lease.
const leaseRenewals = 3

func (n *Node) leaseConfig() lease.Config {
	cfg := lease.DefaultConfig()
	cfg.Duration = n.set.Control.LeaseDuration.Std()
	cfg.RenewInterval = cfg.Duration / leaseRenewals
	cfg.WatchInterval = cfg.Duration / leaseRenewals
	return cfg
}

// seed returns a seed for the node's random choices.
func (n *Node) seed() uint64 { return rand.Uint64() }

// viewed drops what is kept of endpoints that are gone, and takes over this
// node's part of the retries that the fleet is allowed in any case.
func (n *Node) viewed() {
	n.picker.Prune(n.pub.View())
	fleet := uint32(0)
	for _, live := range n.loop.liveByZone() {
		fleet += live
	}
	n.retrier.SetShare(1 / float64(max(1, fleet)))
}

// housekeepInterval is the time between two rounds of housekeeping by a zone's
// reader.
const housekeepInterval = time.Minute

// housekeep collects superseded versions and old claims now and then. Only the
// zones' readers do it, so that it doesn't grow with the fleet; it needs no
// agreement between them.
func (n *Node) housekeep(ctx context.Context) error {
	ticker := time.NewTicker(housekeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.collect(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// collect does one round: superseded versions, and old claims of one organisation.
func (n *Node) collect(ctx context.Context) {
	if !n.pub.reader.Load() {
		return
	}
	swept, err := n.collector.Sweep(ctx, time.Now())
	_ = level.Debug(n.log).Log("event", "versions_collected", "objects", swept.Objects, "records", swept.Records, "err", err)
	s := n.pub.Snapshot()
	if s == nil || len(s.Organisations()) == 0 {
		return
	}
	organisations := s.Organisations()
	organisation := organisations[rand.IntN(len(organisations))]
	if _, err := n.keeper.Sweep(ctx, organisation); err != nil {
		_ = level.Warn(n.log).Log("event", "claims_collect_failed", "organisation", organisation, "err", err)
	}
}
