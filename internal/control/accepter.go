package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Config configures an Accepter.
type Config struct {
	// Accept sets the limits that apply to each change.
	Accept accept.Config
	// Held returns the newest version that the process already holds, so that
	// the accepter need not load it from the platform. It returns nil when the
	// process holds no version. Held itself may be nil.
	Held func() *snapshot.Snapshot
}

// DefaultConfig returns the default configuration of an Accepter.
func DefaultConfig() Config { return Config{Accept: accept.DefaultConfig()} }

// Accepter validates changes of the configuration and commits them to the
// platform. It is safe for concurrent use: it applies its changes one at a
// time, so that they don't race each other. Accepters of other processes may
// commit concurrently.
type Accepter struct {
	Reader
	cfg Config
	// applying is a semaphore: it holds one token while a change is being
	// applied.
	applying chan struct{}
	// newest is the newest version known to be accepted. It is written only
	// while the token of applying is held.
	newest atomic.Pointer[snapshot.Snapshot]
}

// NewAccepter returns an accepter that commits to the platform's table and
// object store.
func NewAccepter(cfg Config, table store.Table, objects store.Objects) *Accepter {
	a := &Accepter{
		Reader:   Reader{table: table, objects: objects},
		cfg:      cfg,
		applying: make(chan struct{}, 1),
	}
	a.newest.Store(snapshot.Empty())
	return a
}

// Newest returns the newest accepted version that this accepter has committed
// or loaded, or the empty snapshot when there is none. It does not block.
func (a *Accepter) Newest() *snapshot.Snapshot { return a.newest.Load() }

// Apply commits a change and returns the accepted version. The error is a *accept.ConflictError,
// *accept.InvalidError, *accept.ChangeIDError, *accept.RefusedError or
// *accept.UnknownOutcomeError; only the last leaves it unknown whether the
// change was accepted. When ctx ends, Apply returns one of the last two.
func (a *Accepter) Apply(ctx context.Context, change accept.Change) (accept.Accepted, error) {
	select {
	case a.applying <- struct{}{}:
	case <-ctx.Done():
		return accept.Accepted{}, notStarted(change, ctx.Err())
	}
	defer func() { <-a.applying }()
	m := accept.New(a.cfg.Accept, change, a.held())
	end := a.drive(ctx, m)
	a.newest.Store(m.Newest())
	return end.Accepted, end.Err
}

// notStarted returns the error of a change whose context ended before the
// accepter began to apply it. The outcome of a resent change is unknown, as an
// earlier send may have been accepted.
func notStarted(change accept.Change, err error) error {
	if change.Resend {
		return &accept.UnknownOutcomeError{ID: change.ID, Err: err}
	}
	return &accept.RefusedError{Err: err}
}

// held returns the newer of the accepter's newest version and the version that
// the process holds.
func (a *Accepter) held() *snapshot.Snapshot {
	newest := a.newest.Load()
	if a.cfg.Held == nil {
		return newest
	}
	if s := a.cfg.Held(); s != nil && s.Ref().Newer(newest.Ref()) {
		return s
	}
	return newest
}

// drive runs the state machine of one change: it performs each action and
// passes the resulting event back, until the machine finishes.
func (a *Accepter) drive(ctx context.Context, m *accept.Machine) accept.Finish {
	var ev core.Event = accept.Start{}
	for {
		for _, act := range m.Step(time.Now(), ev) {
			if end, ok := act.(accept.Finish); ok {
				return end
			}
			ev = a.perform(ctx, act)
		}
	}
}

// perform carries out one action and returns the event that reports its result.
func (a *Accepter) perform(ctx context.Context, act core.Action) core.Event {
	switch act := act.(type) {
	case accept.ReadHead:
		head, revision, err := a.readHead(ctx)
		return accept.HeadRead{Result: resultOf(err), Err: err, Head: head, Revision: revision}
	case accept.ReadRecord:
		record, err := a.Change(ctx, act.ChangeID)
		return accept.RecordRead{Result: resultOf(err), Err: err, Record: record}
	case accept.LoadBase:
		s, err := a.LoadVersion(ctx, act.Held, act.Head)
		return accept.BaseLoaded{Err: err, Snapshot: s}
	case accept.PutObject:
		err := a.objects.Put(ctx, act.Key, act.Body)
		return accept.ObjectPut{Result: resultOf(err), Err: err}
	case accept.WriteHead:
		_, err := a.table.Transact(ctx, writesOf(act))
		return accept.HeadWritten{Result: resultOf(err), Err: err}
	case accept.Wait:
		return wait(ctx, act.Until)
	default:
		return accept.Cancel{Err: &UnexpectedActionError{Action: act}}
	}
}

// wait returns a Tick at the given time, or a Cancel when ctx ends.
func wait(ctx context.Context, until time.Time) core.Event {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return core.Tick{}
	case <-ctx.Done():
		return accept.Cancel{Err: ctx.Err()}
	}
}

// writesOf returns the writes of the transaction that commits a change: the
// conditional write of the head and, where given, the change's record.
func writesOf(w accept.WriteHead) []store.Write {
	writes := []store.Write{{Key: accept.HeadKey, Value: w.Head, IfRevision: w.HeadRevision}}
	if w.RecordKey != "" {
		writes = append(writes, store.Write{Key: w.RecordKey, Value: w.Record})
	}
	return writes
}
