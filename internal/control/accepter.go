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
	// Accept sets the limits of one change.
	Accept accept.Config
	// Held returns the newest version that the process holds, which saves
	// loading it. Nil when it holds none.
	Held func() *snapshot.Snapshot
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config { return Config{Accept: accept.DefaultConfig()} }

// Accepter accepts changes. It is safe for concurrent use: its own changes go
// one after another, so that they don't race each other; accepters of other
// processes may race it.
type Accepter struct {
	Reader
	cfg Config
	// turn holds one token while a change is under way.
	turn chan struct{}
	// newest is the newest version known to be accepted. It is written only
	// in turn.
	newest atomic.Pointer[snapshot.Snapshot]
}

// NewAccepter returns an accepter over the platform.
func NewAccepter(cfg Config, table store.Table, objects store.Objects) *Accepter {
	a := &Accepter{
		Reader: Reader{table: table, objects: objects},
		cfg:    cfg,
		turn:   make(chan struct{}, 1),
	}
	a.newest.Store(snapshot.Empty())
	return a
}

// Newest returns the newest version that this accepter knows to be accepted;
// the empty one when it has accepted and loaded none. It does not block.
func (a *Accepter) Newest() *snapshot.Snapshot { return a.newest.Load() }

// Apply accepts a change. The error is a *accept.ConflictError,
// *accept.InvalidError, *accept.ChangeIDError, *accept.RefusedError or
// *accept.UnknownOutcomeError; only the last leaves open whether the change is
// taken. When ctx ends, Apply ends with one of the last two.
func (a *Accepter) Apply(ctx context.Context, change accept.Change) (accept.Accepted, error) {
	select {
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return accept.Accepted{}, notStarted(change, ctx.Err())
	}
	defer func() { <-a.turn }()
	m := accept.New(a.cfg.Accept, change, a.held())
	end := a.drive(ctx, m)
	a.newest.Store(m.Newest())
	return end.Accepted, end.Err
}

// notStarted returns the error of a change that got no turn.
func notStarted(change accept.Change, err error) error {
	if change.Resend {
		return &accept.UnknownOutcomeError{ID: change.ID, Err: err}
	}
	return &accept.RefusedError{Err: err}
}

// held returns the newest version at hand.
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

// perform carries out one action and returns the event that answers it.
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

func writesOf(w accept.WriteHead) []store.Write {
	writes := []store.Write{{Key: accept.HeadKey, Value: w.Head, IfRevision: w.HeadRevision}}
	if w.RecordKey != "" {
		writes = append(writes, store.Write{Key: w.RecordKey, Value: w.Record})
	}
	return writes
}
