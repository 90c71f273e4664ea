package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// maxRecords bounds what waits to be told to the store: one for each service in a
// roll-out.
const maxRecords = 64

// recordWait bounds one write about a roll-out: a slow store takes half a second.
const recordWait = 2 * time.Second

// counted returns what the host's backend server has done.
func (l *loop) counted() rollout.Counted {
	i := l.pub.instance.Load()
	if i == nil {
		return rollout.Counted{}
	}
	c := rollout.Counted{Service: i.Service, Version: i.Version, Instance: i.Key()}
	if l.rollouts.Running(i.Service) {
		c.Tallies = l.meter.Tallies()
	}
	return c
}

// turned tells that a roll-out has got on.
func (l *loop) turned(a rollout.PhaseChanged) {
	e := &a.Entry
	_ = level.Info(l.log).Log("event", "rollout_turned", "service", e.Order.Service, "target", e.Order.Target,
		"order", store.Transaction(e.Order.Revision), "phase", e.Phase, "age", e.Age, "reason", e.Reason, "found_here", a.FoundHere)
	l.metrics.GetOrCreateCounter(`jacinthgate_rollout_turns_total{phase="` + e.Phase.String() + `"}`).Inc()
}

// record hands on what the store is to be told.
func (l *loop) record(now time.Time, a rollout.Record) {
	select {
	case l.records <- a:
	default:
		l.carryOut(now, l.rollouts.Step(now, rollout.Recorded{Service: a.Entry.Order.Service, Err: &busyError{}}))
	}
}

// busyError reports that too much waits to be told to the store.
type busyError struct{}

// Error implements error.
func (*busyError) Error() string { return "too many writes wait" }

// recordRollouts tells the store of roll-outs until ctx ends.
func (n *Node) recordRollouts(ctx context.Context) error {
	return each(ctx, n.loop.records, func(a rollout.Record) {
		n.loop.queue.Post(ctx, n.recordRollout(ctx, a))
	})
}

// each handles what comes from a channel until ctx ends.
func each[T any](ctx context.Context, from <-chan T, handle func(T)) error {
	for {
		select {
		case v := <-from:
			handle(v)
		case <-ctx.Done():
			return nil
		}
	}
}

// recordRollout tells it once.
func (n *Node) recordRollout(ctx context.Context, a rollout.Record) rollout.Recorded {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	o := &a.Entry.Order
	held, err := n.store.RecordRollout(ctx, a.Entry, a.Row)
	if err != nil {
		_ = level.Warn(n.log).Log("event", "rollout_not_recorded", "service", o.Service, "target", o.Target,
			"phase", a.Entry.Phase, "err", err)
		var over *platform.EraError
		return rollout.Recorded{Service: o.Service, Err: err, Outdated: errors.As(err, &over)}
	}
	if held.Unreadable != nil {
		_ = level.Warn(n.log).Log("event", "rollout_unreadable", "err", held.Unreadable)
	}
	_ = level.Info(n.log).Log("event", "rollout_recorded", "service", o.Service, "target", o.Target,
		"phase", a.Entry.Phase, "row", store.Transaction(held.Revision), "expected", store.Transaction(a.Row))
	return rollout.Recorded{Service: o.Service, Held: held.Entry, Row: held.Revision}
}

// learnRollouts takes what the store knows of roll-outs.
func (n *Node) learnRollouts(ctx context.Context, nodes platform.Nodes) {
	if nodes.Unreadable != nil {
		_ = level.Warn(n.log).Log("event", "rollout_unreadable", "err", nodes.Unreadable)
	}
	if len(nodes.Rollouts) > 0 {
		n.loop.queue.Post(ctx, rollout.Learned{Entries: nodes.Rollouts})
	}
}
