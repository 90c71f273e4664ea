package node

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/coordination/lease"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// maxEvents bounds the events that wait for the loop.
const maxEvents = 1024

// links are the connections to peers. *link.Manager is one.
type links interface {
	Connect(node model.NodeID, addr string)
	Disconnect(node model.NodeID)
	Send(to model.NodeID, priority message.Priority, m message.Message) error
	Events() <-chan core.Event
}

// platformCalls are the asynchronous calls to the platform; each answers with an
// event.
type platformCalls interface {
	readHead()
	loadVersion(held *snapshot.Snapshot, ref snapshot.Ref)
	readLease(a lease.ReadItem)
	writeLease(a lease.WriteItem)
	findSeeds()
}

// loop is the event loop: it alone touches the control plane's cores.
type loop struct {
	queue  *eventqueue.Queue
	member *member.Core
	dist   *distribute.Core
	lease  *lease.Core
	shares *shares
	// suspects shares which requests crash backend servers.
	suspects *quarantine.Core
	links    links
	// linksDone is closed when the links have ended.
	linksDone chan struct{}
	platform  platformCalls
	pub       *published
	// onSwap is called before a new snapshot is published.
	onSwap func(*snapshot.Snapshot)
	// onView is called after a new view is published.
	onView func()
	// onDrained is called when the backend server was draining before the node
	// started.
	onDrained func()
	log       log.Logger
	started   time.Time

	// flush fires when changed records are due.
	flush         *time.Timer
	viewDirty     bool
	leaseHeld     bool
	rejected      message.Rejection
	leaseTerm     uint64
	aloneSince    time.Time
	nextDiscovery time.Time
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) error {
	l.step(core.Tick{})
	driver := eventqueue.Loop{
		Queue: l.queue, Links: l.links, LinksDone: l.linksDone, Flush: l.flush, Step: l.step,
		OnTick: func(time.Time) {
			l.step(core.Tick{})
			l.noteRejection()
		},
	}
	driver.Run(ctx)
	return nil
}

// step gives one event to every core and publishes what changed.
func (l *loop) step(ev core.Event) {
	now := time.Now()
	l.restoreDrain(now, ev)
	l.carryOut(now, l.member.Step(now, ev))
	l.carryOut(now, l.dist.Step(now, ev))
	l.carryOut(now, l.lease.Step(now, ev))
	l.carryOut(now, l.suspects.Step(now, ev))
	l.followLease(now)
	l.shares.step(now, ev, l)
	l.discover(now)
	l.publish()
	l.armFlush(now)
}

// armFlush sets the timer for changed records that wait to be sent together.
func (l *loop) armFlush(now time.Time) {
	if due := l.member.FlushDue(); !due.IsZero() {
		l.flush.Reset(due.Sub(now))
	}
}

// followLease tells the distribution core when the lease was won or lost.
func (l *loop) followLease(now time.Time) {
	held, term := l.lease.Held(now), l.lease.Term()
	if held == l.leaseHeld && (!held || term == l.leaseTerm) {
		return
	}
	l.leaseHeld, l.leaseTerm = held, term
	l.pub.reader.Store(held)
	_ = level.Info(l.log).Log("event", "lease_changed", "held", held, "term", term)
	l.carryOut(now, l.dist.Step(now, distribute.LeaseChanged{Held: held, Term: term}))
}

// publish makes what the path of a request and new peers need visible.
func (l *loop) publish() {
	if l.viewDirty {
		l.viewDirty = false
		l.pub.view.Store(l.member.Table().View())
		l.onView()
	}
	l.pub.selfState.Store(&selfState{
		record: l.member.Self(),
		held:   l.dist.Held().Ref(),
		ready:  l.dist.Ready(),
		digest: l.member.Digest(),
	})
}

func (l *loop) carryOut(now time.Time, actions []core.Action) {
	for _, a := range actions {
		l.do(now, a)
	}
}

// do carries out one action.
func (l *loop) do(now time.Time, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		l.member.MarkSent(now, a.To)
		if err := l.links.Send(a.To, a.Priority, a.Message); err != nil {
			_ = level.Error(l.log).Log("event", "message_not_sent", "to", a.To, "kind", a.Message.Kind(), "err", err)
		}
	case core.Connect:
		l.links.Connect(a.Node, a.Addr)
	case core.Disconnect:
		l.links.Disconnect(a.Node)
	default:
		l.doMember(now, a)
	}
}

func (l *loop) doMember(now time.Time, a core.Action) {
	switch a := a.(type) {
	case member.TableChanged:
		l.viewDirty = true
	case member.MembersChanged:
		_ = level.Info(l.log).Log("event", "members_changed", "live", len(a.Live))
		l.carryOut(now, l.dist.Step(now, distribute.Members{Live: a.Live}))
	case member.GatewayChanged:
		_ = level.Info(l.log).Log("event", "gateway_changed", "gateway", a.Gateway)
		l.carryOut(now, l.lease.Step(now, lease.Candidate{Contend: a.Gateway}))
	case member.IdentityConflict:
		_ = level.Warn(l.log).Log("event", "identity_conflict", "incarnation", a.Incarnation)
		l.carryOut(now, l.member.Step(now, member.Incarnate{Incarnation: a.Incarnation + 1}))
	case member.Refused:
		_ = level.Warn(l.log).Log("event", "record_refused", "from", a.From, "err", a.Err)
	default:
		l.doDistribute(a)
	}
}

func (l *loop) doDistribute(a core.Action) {
	switch a := a.(type) {
	case distribute.ReadHead:
		l.platform.readHead()
	case distribute.LoadVersion:
		l.platform.loadVersion(l.dist.Held(), a.Ref)
	case distribute.Swap:
		l.swap(a.Snapshot)
	case distribute.ReadyChanged:
		_ = level.Info(l.log).Log("event", "ready_changed", "ready", a.Ready)
		l.pub.ready.Store(a.Ready)
	case lease.ReadItem:
		l.platform.readLease(a)
	case lease.WriteItem:
		l.platform.writeLease(a)
	case quarantine.Changed:
		l.pub.suspects.Store(l.suspects.View())
	case quarantine.Quarantined:
		_ = level.Warn(l.log).Log("event", "request_quarantined", "fingerprint", a.Entry.Fingerprint,
			"crashes", len(a.Entry.Evidence), "last_crash", a.Entry.LastCrash().UTC(), "witness", a.Witness)
	}
}

// swap publishes a version. The limits of its contracts are in place before a
// request can meet it.
func (l *loop) swap(s *snapshot.Snapshot) {
	l.onSwap(s)
	l.shares.limits(time.Now(), s, l)
	l.pub.snapshot.Store(s)
	_ = level.Info(l.log).Log("event", "version_applied", "version", s.Version(), "hash", s.Ref().Hash)
}

// Times of looking for members at the platform.
const (
	// aloneBeforeDiscovery is how long a node has no peer before it looks at the
	// platform for other members.
	aloneBeforeDiscovery = 3 * time.Second
	// discoveryInterval is the time between two looks.
	discoveryInterval = 10 * time.Second
)

// discover looks for members at the platform while the node has no peer.
func (l *loop) discover(now time.Time) {
	if len(l.member.Neighbours()) > 0 {
		l.aloneSince = time.Time{}
		return
	}
	if l.aloneSince.IsZero() {
		l.aloneSince = now
	}
	if now.Sub(l.aloneSince) < aloneBeforeDiscovery || now.Before(l.nextDiscovery) {
		return
	}
	l.nextDiscovery = now.Add(discoveryInterval)
	l.platform.findSeeds()
}
