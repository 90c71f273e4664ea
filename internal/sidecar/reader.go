package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/coordination/evacuation"
	"github.com/jacinthgate/jacinthgate/coordination/freshness"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/platform"
	order "github.com/jacinthgate/jacinthgate/state/rollout"
)

const (
	// feedWait is how long a read of the store waits for a change at the most; see
	// docsync.ReadSchedule. It is shorter where reads have to prove something.
	feedWait = 3 * time.Second
	// feedMargin is how much later than its wait the answer to a read may come. A
	// read that exceeds it is repeated at once, so it may be short.
	feedMargin = 500 * time.Millisecond
	// wholeTimeout bounds a read of everything, which doesn't wait.
	wholeTimeout = 2 * time.Second
	// mergeWait is the pause after a change before the next read: changes in
	// quick succession are read together. It adds to the time until a change
	// is in force, for which there are two seconds.
	mergeWait = 400 * time.Millisecond
)

// reader reads the operators' configuration from the store while it is on.
type reader struct {
	configs *platform.Configs
	loop    *loop
	log     log.Logger
	// turn gets whether to read; only the newest word counts.
	turn chan readMode
	// mode is the one last received from turn.
	mode readMode
	// told is the newest version that the store has told since the last whole
	// read; 0 for none.
	told uint64
	// schedule spreads the reads of the site's readers.
	schedule atomic.Pointer[docsync.ReadSchedule]
	created  time.Time
}

func newReader(c *platform.Configs, l *loop, logger log.Logger) *reader {
	r := &reader{configs: c, loop: l, log: logger, turn: make(chan readMode, 1), created: time.Now()}
	r.setSchedule(docsync.ReadSchedule{Slots: 1})
	return r
}

// setSchedule sets the slot of this node's reads; the interval is the reader's own.
func (r *reader) setSchedule(s docsync.ReadSchedule) { r.schedule.Store(&s) }

// wait returns how long the next read may wait for a change; 0 for one that doesn't wait.
func (r *reader) wait() time.Duration {
	if !r.configs.Waits() {
		return 0
	}
	s := *r.schedule.Load()
	s.Interval = r.loop.proving.readWait()
	return s.Wait(r.clock())
}

// clock returns the store's clock, which is the same for all readers, or the time since the reader
// was created if the store doesn't tell it.
func (r *reader) clock() time.Duration {
	if c := r.configs.Clock(); c > 0 {
		return c
	}
	return time.Since(r.created)
}

// readMode says whether to read the store, and whether only once.
type readMode struct{ on, once bool }

// set turns reading on or off.
func (r *reader) set(on bool) { r.setMode(readMode{on: on}) }

// setMode replaces the mode; reading goes on or stops accordingly.
func (r *reader) setMode(m readMode) {
	select {
	case <-r.turn:
	default:
	}
	r.turn <- m
}

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) error {
	for {
		if !r.mode.on {
			select {
			case r.mode = <-r.turn:
			case <-ctx.Done():
				return nil
			}
			continue
		}
		on := r.readWhileOn(ctx)
		r.mode.on = on && !r.mode.once
		if ctx.Err() != nil {
			return nil
		}
	}
}

// readWhileOn makes one read, which ends early when reading is turned off. It
// reports whether reading is still on.
func (r *reader) readWhileOn(ctx context.Context) bool {
	wait := r.wait()
	limit := wait + feedMargin
	if wait == 0 {
		limit = wholeTimeout
	}
	readCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan reading, 1)
	go func() { done <- r.read(readCtx, wait) }()
	return r.await(ctx, cancel, done)
}

// await hands on what a read brings. Where reading is turned off meanwhile it cancels the
// read.
func (r *reader) await(ctx context.Context, cancel func(), done <-chan reading) bool {
	for {
		select {
		case result := <-done:
			r.handOn(ctx, result)
			return r.pause(ctx, result.StoreRead)
		case r.mode = <-r.turn:
			if !r.mode.on {
				cancel()
				if result := <-done; result.Err == nil { // the next read goes on after it
					r.handOn(ctx, result)
				}
				return false
			}
		}
	}
}

func (r *reader) handOn(ctx context.Context, result reading) {
	for _, o := range result.orders {
		r.loop.queue.Post(ctx, rollout.Ordered{Order: o})
	}
	if len(result.evacuations.Orders) > 0 || result.evacuations.WholeRevision > 0 {
		r.loop.queue.Post(ctx, result.evacuations)
	}
	r.loop.queue.Post(ctx, result.StoreRead)
	if result.Err == nil && r.loop.proving != nil {
		r.loop.queue.Post(ctx, result.proof)
	}
}

// reading is what one read has brought.
type reading struct {
	docsync.StoreRead
	orders      []order.Order
	evacuations evacuation.Read
	proof       freshness.Read
}

// read makes one read of the store.
func (r *reader) read(ctx context.Context, wait time.Duration) reading {
	began, sent := r.loop.proving.began(), time.Now()
	c, err := r.configs.Next(ctx, wait)
	if err != nil {
		r.configs.Restart()
		r.told = 0
		unanswered := ctx.Err() == context.DeadlineExceeded
		_ = level.Warn(r.log).Log("event", "store_unread", "unanswered", unanswered, "after_ms", time.Since(sent).Milliseconds(), "err", err)
		return reading{StoreRead: docsync.StoreRead{Err: err, Unanswered: unanswered}}
	}
	if c.Unreadable != nil {
		_ = level.Warn(r.log).Log("event", "rollout_unreadable", "err", c.Unreadable)
	}
	out := reading{StoreRead: docsync.StoreRead{Epoch: c.Life}, orders: c.Orders}
	out.evacuations.Orders = c.Evacuations
	if c.Whole {
		out.evacuations.WholeRevision = c.Revision
		r.told = 0 // the store may hold no configuration any more
	}
	if c.Restored {
		_ = level.Warn(r.log).Log("event", "store_read_anew", "life", c.Life, "orders", len(c.Orders))
	}
	if c.Config != nil {
		out.Version, out.Body = uint64(c.Config.Version), pack(c.Config.Body)
		r.told = out.Version
	}
	out.proof = freshness.Read{Began: began, Version: r.told, Epoch: c.Life}
	return out
}

// pause waits after a read and reports whether reading is still on. After a
// failure the core decides when to go on.
func (r *reader) pause(ctx context.Context, result docsync.StoreRead) bool {
	var due <-chan time.Time
	switch {
	case result.Err != nil:
	case result.Version == 0:
		return true
	default:
		t := time.NewTimer(mergeWait)
		defer t.Stop()
		due = t.C
	}
	for {
		select {
		case r.mode = <-r.turn:
			if !r.mode.on {
				return false
			}
			if result.Err != nil {
				return true
			}
		case <-due:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
