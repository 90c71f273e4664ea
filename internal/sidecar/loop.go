package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/departure"
	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/coordination/evacuation"
	"github.com/jacinthgate/jacinthgate/coordination/freshness"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/coordination/restore"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/inbound"
	"github.com/jacinthgate/jacinthgate/transport/link"
)

// maxEvents bounds the events that wait for the loop.
const maxEvents = 256

// loop is the event loop: it alone touches the control plane's cores.
type loop struct {
	self      endpoint.Record
	log       log.Logger
	stateLog  log.Logger // see Logs.State
	metrics   *metrics.Set
	pub       *published
	queue     *eventqueue.Queue
	member    *member.Core
	docs      *docsync.Core
	suspects  *quarantine.Core
	rollouts  *rollout.Core
	evacuated *evacuation.Core
	departed  *departure.Core
	lives     *restore.Core
	meter     *rollout.Meter
	proving   *proving // nil where requests need no proof
	links     *link.Manager
	linksDone chan struct{}
	reader    *reader
	backends  *backends
	picker    *balance.Picker
	restarts  restarts
	gate      *inbound.Gate
	budget    *attempt.Budget
	quotas    *quotas // nil keeps none
	flush     *time.Timer
	// unrecorded are requests whose evidence the store has to keep.
	unrecorded chan suspect.Fingerprint
	// records are what the store is to be told of roll-outs.
	records chan rollout.Record
	// storeDeparture writes to the store, in the background, that an instance beside this node had
	// departed before its start.
	storeDeparture func(instance string)
	// life returns the store's newest life known to its client, and rewrites asks for the own
	// rows to be written again in a life.
	life     func() uint64
	rewrites chan uint64
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) error {
	driver := eventqueue.Loop{
		Queue: l.queue, Links: l.links, LinksDone: l.linksDone, Flush: l.flush, Step: l.step,
		OnTick: l.tick,
	}
	driver.Run(ctx)
	return nil
}

// tick looks at what ages, and gives the cores their Tick.
func (l *loop) tick(now time.Time) {
	if l.backends.expire(now) {
		l.withdraw(now)
	}
	l.announceCold(now)
	l.gate.Update()
	l.settleQuotas(now)
	l.carryOut(now, l.rollouts.Step(now, l.counted()))
	l.meet(now, l.life())
	l.step(core.Tick{})
	l.watchProof()
}

// step gives one event to every core and carries out what follows.
func (l *loop) step(ev core.Event) {
	now := time.Now()
	switch e := ev.(type) {
	case departure.Stated:
		ev = l.located(e)
	case handled:
		close(e)
		return
	case backendConfirmed:
		l.offer(now, l.backends.reachable())
		return
	}
	// First, so that nothing that follows offers a backend server that has departed.
	l.carryOut(now, l.departed.Step(now, ev))
	l.carryOut(now, l.member.Step(now, ev))
	l.carryOut(now, l.docs.Step(now, ev))
	l.pub.newest.Store(l.docs.Newest())
	l.carryOut(now, l.suspects.Step(now, ev))
	l.carryOut(now, l.rollouts.Step(now, ev))
	l.carryOut(now, l.evacuated.Step(now, ev))
	l.prove(ev)
	l.carryOut(now, l.lives.Step(now, ev))
	if due := l.member.FlushDue(); !due.IsZero() {
		l.flush.Reset(due.Sub(now))
	}
}

// withdraw tells the fleet that the host offers no backend server.
func (l *loop) withdraw(now time.Time) {
	l.carryOut(now, l.member.Step(now, member.Announce{Unready: l.pub.withdrawn.Load()}))
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
	case member.TableChanged:
		l.publishView(now)
	case member.MembersChanged:
		_ = level.Info(l.log).Log("event", "members_changed", "live", len(a.Live))
		l.carryOut(now, l.docs.Step(now, docsync.Members{Live: a.Live}))
		l.reader.setSchedule(l.docs.Schedule(feedWait))
		l.lives.Step(now, restore.RankChanged{Rank: max(0, slices.Index(a.Live, l.self.Node)), Live: len(a.Live)})
	case member.IdentityConflict:
		_ = level.Warn(l.log).Log("event", "identity_conflict", "incarnation", a.Incarnation)
		l.carryOut(now, l.member.Step(now, member.Incarnate{Incarnation: a.Incarnation + 1}))
	case member.Refused:
		_ = level.Warn(l.log).Log("event", "record_refused", "from", a.From, "err", a.Err)
	case docsync.SetReading:
		_ = level.Info(l.stateLog).Log("event", "store_reading", "on", a.On, "once", a.Once)
		l.reader.setMode(readMode{on: a.On, once: a.Once})
	case docsync.Apply:
		l.apply(now, a)
	case docsync.Late:
		l.configLate(a)
	case departure.Departed, departure.OwnDeparted, departure.Kept, departure.Settled:
		l.departureChanged(now, a)
	case quarantine.Changed:
		l.pub.suspects.Store(l.suspects.View())
	case quarantine.Quarantined:
		l.quarantined(a)
	case quarantine.Record:
		l.recordSuspect(a)
	case evacuation.Changed:
		l.evacuationChanged(now, a)
	case rollout.RoutingChanged:
		l.pub.routing.Store(l.rollouts.Routing())
	case rollout.PhaseChanged:
		l.turned(a)
	case rollout.Record:
		l.record(now, a)
	case freshness.Changed:
		l.proofChanged(a)
	case restore.Restored:
		l.restored(now, a)
	case restore.RewriteRows:
		l.writeAgain(a)
	}
}

// publishView makes the backend servers visible to the path of a request.
func (l *loop) publishView(now time.Time) {
	v := l.member.Table().View().WithoutZones(l.pub.evacuatedZones())
	if l.departed.AnyOffered() {
		v = v.Without(func(r endpoint.Record) bool { return l.departed.Has(r.Instance) })
	}
	l.carryOut(now, l.rollouts.Step(now, rollout.Servers{View: v}))
	l.pub.view.Store(v)
	l.picker.Prune(v)
	live := 0
	l.member.Table().Each(func(r *endpoint.Record, _ model.NodeKey) bool {
		l.restarts.observe(r)
		if r.Live() {
			live++
		}
		return true
	})
	l.restarts.forget(l.member.Table())
	l.budget.SetNodes(live)
	l.picker.SetNodes(live)
	l.updateQuotas(now)
}

// apply puts a configuration in force. One that can't be used is left out whole
// and the one before it stays.
func (l *loop) apply(now time.Time, a docsync.Apply) {
	table, err := decode(a.Body)
	if err != nil {
		l.metrics.GetOrCreateCounter("jacinthgate_configs_refused_total").Inc()
		_ = level.Error(l.stateLog).Log("event", "config_refused", "version", a.Version, "from", a.From, "err", err)
		l.carryOut(now, l.docs.Step(now, docsync.Rejected{Version: a.Version}))
		return
	}
	l.pub.table.Store(table)
	l.metrics.GetOrCreateGauge("jacinthgate_config_version", nil).Set(float64(table.Version()))
	l.metrics.GetOrCreateGauge("jacinthgate_config_routes", nil).Set(float64(table.Routes()))
	l.reportFaults(table)
	l.prove(freshness.InForce{Version: a.Version})
	l.applyQuotas()
	l.backends.checkInDoubt() // the path of health checks is part of the configuration
	_ = level.Info(l.stateLog).Log("event", "config_applied", "version", a.Version, "from", a.From, "bytes", len(a.Body),
		"routes", table.Routes(), "behind_ms", a.BehindFor.Milliseconds())
}

// configLate tells that a version is known and not in force.
func (l *loop) configLate(a docsync.Late) {
	l.metrics.GetOrCreateCounter("jacinthgate_configs_late_total").Inc()
	_ = level.Warn(l.stateLog).Log("event", "config_late", "version", a.Version, "held", a.Held, "source", a.Source)
}

// decode reads the operators' configuration.
func decode(packed []byte) (*route.Table, error) {
	body, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeConfig(body)
	if err != nil {
		return nil, err
	}
	return route.NewTable(c, servicePolicy())
}

// hello returns the first message to a peer, with what this node knows of it: a peer that has
// started anew may know nobody whom it could ask.
func (l *loop) hello(ctx context.Context, to model.NodeID) message.Hello {
	h, ran := eventqueue.Ask(ctx, l.queue, func() message.Hello {
		h := message.Hello{Protocol: message.ProtocolVersion, Record: l.member.Self(), To: to}
		h.Digest = l.member.Digest()
		h.RemembersMillis = uint64(l.departed.Remembers(time.Now()).Milliseconds())
		if d, known := l.departed.Newest(to); known {
			h.Drained, h.DrainedInstance, h.DrainedIncarnation = true, d.Instance, d.Incarnation
		}
		return h
	})
	if !ran {
		return message.Hello{Protocol: message.ProtocolVersion, Record: l.self, To: to}
	}
	return h
}

// welcome answers a Hello with what this node knows of its sender; nil refuses
// the peer while the node stops.
func (l *loop) welcome(ctx context.Context, h *message.Hello) *message.Welcome {
	w, _ := eventqueue.Ask(ctx, l.queue, func() *message.Welcome {
		w := &message.Welcome{Protocol: message.ProtocolVersion, Record: l.member.Self()}
		w.Digest = l.member.Digest()
		w.Incarnation = l.member.IncarnationOf(h.Record.Node)
		w.RemembersMillis = uint64(l.departed.Remembers(time.Now()).Milliseconds())
		if d, known := l.departed.Newest(h.Record.Node); known && d.Incarnation < h.Record.Incarnation {
			w.Drained, w.DrainedInstance = true, d.Instance
		}
		return w
	})
	return w
}
