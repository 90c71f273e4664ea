package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/backoff"
	"github.com/jacinthgate/jacinthgate/coordination/departure"
	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/registry"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
)

const (
	// storeTimeout bounds one call to the store that doesn't wait for changes.
	storeTimeout = time.Second
	// discoverCheck is the time between two looks whether the node is alone or has
	// to register.
	discoverCheck = 500 * time.Millisecond
	// aloneAfter is how long a node tries the addresses of the list, after reading it,
	// before it counts as alone.
	aloneAfter = time.Second
	// aloneRetry is the time between two looks for peers of a node that has none,
	// or hasn't read the list yet; spread by half. It doubles up to aloneRetryMax
	// while the store doesn't answer and the node has peers, and so needs nothing
	// of it.
	aloneRetry    = time.Second
	aloneRetryMax = 8 * time.Second
)

// discovery is what the node knows of the registered nodes. One goroutine uses it.
type discovery struct {
	n       *Node
	policy  registry.Config
	started time.Time
	// readAt is when the list was last read.
	readAt time.Time
	// known is set once the list was read.
	known, registered bool
	// listed is the number of registered nodes of the own zone.
	listed int
	// failures counts the calls in a row that the store has not answered.
	failures int
}

// discover finds the other nodes in the store and registers this one where it is
// needed. They need the store for nothing else: who was found is remembered, and a
// node that returns is called by its peers.
func (n *Node) discover(ctx context.Context) error {
	d := &discovery{n: n, policy: registry.DefaultConfig(), started: time.Now()}
	wait := n.startDelay
	for first := true; ; first = false {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		wait = d.round(ctx, first)
	}
}

// round looks at the list where that is needed, registers the node where that is,
// and returns when to do so again.
func (d *discovery) round(ctx context.Context, first bool) time.Duration {
	rank, alone := d.place(ctx)
	alone = alone && !first && time.Since(d.readAt) >= aloneAfter
	if !d.known || alone {
		d.read(ctx)
	}
	view := registry.View{Listed: d.listed, Rank: rank, Age: time.Since(d.started), Alone: alone}
	if d.known && !d.registered && d.policy.Register(view) {
		d.register(ctx)
	}
	if d.known && !alone && d.failures == 0 {
		return discoverCheck
	}
	wait := aloneRetry
	if !alone && d.failures > 0 {
		wait = backoff.Doubled(aloneRetry, aloneRetryMax, d.failures-1)
	}
	return wait/2 + rand.N(wait)
}

// place returns the node's rank in its zone, and whether it has no peer.
func (d *discovery) place(ctx context.Context) (rank int, alone bool) {
	type place struct {
		rank  int
		alone bool
	}
	p, _ := eventqueue.Ask(ctx, d.n.loop.queue, func() place {
		m := d.n.loop.member
		return place{rank: slices.Index(m.Live(), d.n.set.Node), alone: len(m.Neighbours()) == 0}
	})
	return max(0, p.rank), p.alone
}

// read reads the list and hands its addresses to membership.
func (d *discovery) read(ctx context.Context) {
	n := d.n
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	nodes, err := n.store.Registered(ctx)
	if err != nil {
		d.failures++
		_ = level.Warn(n.log).Log("event", "nodes_unread", "err", err)
		n.loop.queue.Post(n.ctx, departure.ListRead{Failed: true})
		return
	}
	d.known, d.failures, d.readAt = true, 0, time.Now()
	n.loop.queue.Post(ctx, departure.ListRead{OwnDeparted: nodes.Drained[string(n.set.Node)]})
	n.learnSuspects(ctx, nodes)
	n.learnRollouts(ctx, nodes)
	var near, far []string
	for id, s := range nodes.Seeds {
		if s.Zone == string(n.set.Zone) {
			near = append(near, s.Addr)
		} else {
			far = append(far, s.Addr)
		}
		if id == string(n.set.Node) {
			d.registered = s == d.self()
		}
	}
	if d.registered {
		n.own.registered(d.self())
	}
	d.listed = len(near)
	slices.Sort(near)
	slices.Sort(far)
	_ = level.Info(n.log).Log("event", "nodes_read", "nodes", len(nodes.Seeds), "own_zone", d.listed, "registered", d.registered)
	n.loop.queue.Post(ctx, member.SeedsLearned{Addrs: near, OtherZoneAddrs: far})
	if len(near) == 0 {
		n.loop.queue.Post(ctx, docsync.FirstInZone{})
	}
}

// register writes the node's address into the store.
func (d *discovery) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.n.store.Register(ctx, string(d.n.set.Node), d.self()); err != nil {
		d.failures++
		_ = level.Warn(d.n.log).Log("event", "node_not_registered", "err", err)
		return
	}
	d.registered, d.failures = true, 0
	d.n.own.registered(d.self())
	_ = level.Info(d.n.log).Log("event", "node_registered", "own_zone", d.listed)
}

// self returns what other nodes find of this one.
func (d *discovery) self() platform.Seed {
	return platform.Seed{Addr: d.n.set.peersAddr(), Zone: string(d.n.set.Zone)}
}
