package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/coordination/lease"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/internal/control"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// platformIO makes the event loop's calls to the platform, each on a goroutine
// of its own, and answers with events. The cores never have more than a few
// calls under way.
type platformIO struct {
	ctx      context.Context
	table    store.Table
	reader   *control.Reader
	leaseKey string
	timeout  time.Duration
	post     func(context.Context, core.Event)
	log      log.Logger
	metrics  *metrics.Set
}

// The calls, as the metric names them.
const (
	callHead       = "head"
	callVersion    = "version"
	callSeeds      = "seeds"
	callReadLease  = "lease-read"
	callWriteLease = "lease-write"
)

// count counts a call, and its failure. A write that was refused because
// somebody else was first is none.
func (p *platformIO) count(call string, err error) {
	p.metrics.GetOrCreateCounter(`jacinthgate_platform_calls_total{call="` + call + `"}`).Inc()
	failed := p.metrics.GetOrCreateCounter(`jacinthgate_platform_failures_total{call="` + call + `"}`)
	if err != nil && writeResult(err) != lease.WriteRefused {
		failed.Inc()
	}
}

// call runs f with the call's timeout and posts its event.
func (p *platformIO) call(f func(ctx context.Context) core.Event) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
		defer cancel()
		ev := f(ctx)
		p.post(p.ctx, ev)
	}()
}

func (p *platformIO) readHead() {
	p.call(func(ctx context.Context) core.Event {
		head, err := p.reader.Head(ctx)
		p.count(callHead, err)
		if err != nil {
			_ = level.Debug(p.log).Log("event", "head_unread", "err", err)
		}
		return distribute.HeadRead{Ref: head.Ref, Err: err}
	})
}

// loadVersion reads the newest version. That may be newer than the one asked
// for, which is as good.
func (p *platformIO) loadVersion(held *snapshot.Snapshot, ref snapshot.Ref) {
	p.call(func(ctx context.Context) core.Event {
		head, err := p.reader.Head(ctx)
		if err != nil {
			return distribute.Loaded{Err: err}
		}
		s, err := p.reader.LoadVersion(ctx, held, head)
		p.count(callVersion, err)
		if err != nil {
			_ = level.Warn(p.log).Log("event", "version_unread", "version", ref.Version, "err", err)
		}
		return distribute.Loaded{Snapshot: s, Err: err}
	})
}

// maxSeeds bounds the leases read to find members.
const maxSeeds = 64

// findSeeds reads the addresses of the zones' readers from their leases.
func (p *platformIO) findSeeds() {
	p.call(func(ctx context.Context) core.Event {
		items, err := p.table.List(ctx, leasePrefix, "", maxSeeds)
		p.count(callSeeds, err)
		if err != nil {
			_ = level.Warn(p.log).Log("event", "seeds_unread", "err", err)
			return core.Tick{}
		}
		return member.SeedsLearned{Addrs: leaseAddrs(items)}
	})
}

// leasePrefix starts the table keys of the zones' leases.
const leasePrefix = "lease/reader/"

func (p *platformIO) readLease(a lease.ReadItem) {
	p.call(func(ctx context.Context) core.Event {
		it, err := p.table.Get(ctx, p.leaseKey)
		p.count(callReadLease, err)
		ev := lease.ItemRead{ID: a.ID, Revision: it.Revision, Err: err}
		if err == nil && it.Revision > 0 {
			ev.Err = json.Unmarshal(it.Value, &ev.Item)
		}
		return ev
	})
}

func (p *platformIO) writeLease(a lease.WriteItem) {
	p.call(func(ctx context.Context) core.Event {
		raw, err := json.Marshal(a.Item)
		if err != nil {
			return lease.Written{ID: a.ID, Result: lease.WriteFailed}
		}
		write := store.Write{Key: p.leaseKey, Value: raw, IfRevision: a.IfRevision}
		revisions, err := p.table.Transact(ctx, []store.Write{write})
		p.count(callWriteLease, err)
		ev := lease.Written{ID: a.ID, Result: writeResult(err)}
		if err == nil {
			ev.Revision = revisions[0]
		}
		return ev
	})
}

// writeResult classifies the error of a conditional write.
func writeResult(err error) lease.WriteResult {
	var condition *store.ConditionError
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		return lease.WriteDone
	case errors.As(err, &condition):
		return lease.WriteRefused
	case errors.As(err, &unavailable):
		return lease.WriteFailed
	default:
		return lease.WriteUnknown
	}
}

// leaseAddrs returns the control addresses in the leases. An item that can't be
// read is left out: other members may be found by the others.
func leaseAddrs(items []store.Item) []string {
	var addrs []string
	for _, it := range items {
		var l lease.Item
		if json.Unmarshal(it.Value, &l) == nil && l.Address != "" {
			addrs = append(addrs, l.Address)
		}
	}
	return addrs
}
