package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/docsync"
	"github.com/jacinthgate/jacinthgate/platform"
)

const (
	// feedWait is how long a read of the store waits for a change. A reader
	// that the store no longer answers is found out after this time and
	// feedMargin.
	feedWait = 2500 * time.Millisecond
	// feedMargin is how much later than feedWait an answer may come.
	feedMargin = 800 * time.Millisecond
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
	turn chan bool
}

func newReader(c *platform.Configs, l *loop, logger log.Logger) *reader {
	return &reader{configs: c, loop: l, log: logger, turn: make(chan bool, 1)}
}

// set turns reading on or off.
func (r *reader) set(on bool) {
	select {
	case <-r.turn:
	default:
	}
	r.turn <- on
}

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) error {
	on := false
	for {
		if !on {
			select {
			case on = <-r.turn:
			case <-ctx.Done():
				return nil
			}
			continue
		}
		on = r.readWhileOn(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// readWhileOn makes one read, which ends early when reading is turned off. It
// reports whether reading is still on.
func (r *reader) readWhileOn(ctx context.Context) bool {
	readCtx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
	defer cancel()
	done := make(chan docsync.StoreRead, 1)
	go func() { done <- r.read(readCtx) }()
	for {
		select {
		case result := <-done:
			r.loop.queue.Post(ctx, result)
			return r.pause(ctx, result)
		case on := <-r.turn:
			if !on {
				cancel()
				<-done
				return false
			}
		}
	}
}

// read makes one read of the store.
func (r *reader) read(ctx context.Context) docsync.StoreRead {
	d, err := r.configs.Next(ctx, feedWait)
	if err != nil {
		r.configs.Restart()
		_ = level.Warn(r.log).Log("event", "store_unread", "err", err)
		return docsync.StoreRead{Err: err}
	}
	if d == nil {
		return docsync.StoreRead{}
	}
	return docsync.StoreRead{Version: uint64(d.Version), Body: pack(d.Body)}
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
		case on := <-r.turn:
			if !on {
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
