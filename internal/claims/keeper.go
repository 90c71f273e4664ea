package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Keeper claims Idempotency-Keys in the table service on behalf of one node's
// requests. It is safe for concurrent use.
type Keeper struct {
	cfg        Config
	table      store.Table
	batch      *batcher
	retrySlots chan struct{}
	background sync.WaitGroup
	// closing is closed when the context of Close ends; it stops the retries.
	closing   chan struct{}
	closeOnce sync.Once
	// failures counts consecutive failed calls.
	failures atomic.Int64
	// stopUntil is the time until which the table service isn't called, in Unix
	// nanoseconds.
	stopUntil atomic.Int64
	stats     Stats
}

// Stats holds the counters of a Keeper.
type Stats struct {
	// Claimed counts requests that may be sent.
	Claimed atomic.Uint64
	// Replayed counts retries answered with the stored response.
	Replayed atomic.Uint64
	// Refused counts requests that were not sent.
	Refused atomic.Uint64
	// Stuck counts keys left claimed because their last write, of the
	// outcome or the release, failed permanently.
	Stuck atomic.Uint64
}

// New returns a Keeper over the table.
func New(cfg Config, table store.Table) *Keeper {
	return &Keeper{
		cfg:        cfg,
		table:      table,
		batch:      newBatcher(cfg.Batch, cfg.CallTimeout, table),
		retrySlots: make(chan struct{}, cfg.MaxBackground),
		closing:    make(chan struct{}),
	}
}

// Stats returns the counters.
func (k *Keeper) Stats() *Stats { return &k.stats }

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// The kinds of verdict.
const (
	// Proceed means that the request may be sent through its Claim.
	Proceed VerdictKind = iota
	// Replay means that Verdict.Answer is returned to the caller.
	Replay
	// Refuse means that the request is refused with Verdict.Refusal.
	Refuse
)

// Verdict is the result of Begin: whether a request is sent, answered with a
// stored response or refused.
type Verdict struct {
	// Kind determines which of the other fields is set.
	Kind VerdictKind
	// Answer is the stored response of a Replay.
	Answer claim.Answer
	// Refusal is the outcome, reason and Retry-After delay of a Refuse.
	Refusal claim.Refuse
}

// Begin claims an organisation's key for one request. The Claim is nil unless the
// verdict is Proceed; then exactly one of its Done, NotRun and Unknown must be
// called. If ctx ends first, the verdict is a refusal with outcome not-run.
func (k *Keeper) Begin(
	ctx context.Context, organisation, key string, fp claim.Fingerprint,
) (*Claim, Verdict) {
	if time.Now().UnixNano() < k.stopUntil.Load() {
		return nil, k.count(k.unavailable())
	}
	c := &Claim{
		keeper:  k,
		key:     claim.ItemKey(organisation, key),
		verdict: make(chan Verdict, 1),
	}
	c.machine = claim.New(k.cfg.Claim, claim.Record{
		Attempt:     uuid.NewString(),
		Node:        k.cfg.Node,
		Incarnation: k.cfg.Incarnation,
		Fingerprint: fp,
	})
	c.background(claim.Start{})
	v := c.await(ctx)
	if v.Kind != Proceed {
		return nil, k.count(v)
	}
	return c, k.count(v)
}

// unavailable returns the refusal for a table service that keeps failing.
func (k *Keeper) unavailable() Verdict {
	return Verdict{Kind: Refuse, Refusal: claim.Refuse{
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonPlatform,
		RetryAfter: k.cfg.Claim.PlatformRetryAfter,
	}}
}

func (k *Keeper) count(v Verdict) Verdict {
	switch v.Kind {
	case Proceed:
		k.stats.Claimed.Add(1)
	case Replay:
		k.stats.Replayed.Add(1)
	case Refuse:
		k.stats.Refused.Add(1)
	}
	return v
}

// Close waits for outstanding writes until ctx ends; then it abandons those
// that wait for a retry and returns an error. It is called after the last
// request has ended.
func (k *Keeper) Close(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		k.background.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		k.closeOnce.Do(func() { close(k.closing) })
		return errors.Wrap(ctx.Err(), "claims: writes outstanding")
	}
}

// perform executes a Write or Read and returns its result as an event.
func (k *Keeper) perform(key string, a core.Action) core.Event {
	var ev core.Event
	switch a := a.(type) {
	case claim.Write:
		ev = k.write(key, a)
	case claim.Read:
		ev = k.read(key)
	}
	k.recordResult(ev)
	return ev
}

func (k *Keeper) write(key string, w claim.Write) core.Event {
	value, err := w.Record.Encode()
	if err != nil {
		return claim.WriteFailed{}
	}
	lazy := w.Record.State != claim.StateClaimed
	revision, err := k.batch.write(store.Write{Key: key, Value: value, IfRevision: w.IfRevision}, lazy)
	if err == nil {
		return claim.Written{Revision: revision}
	}
	var conflict *store.ConditionError
	if errors.As(err, &conflict) {
		return claim.Conflict{Current: toItem(conflict.Current)}
	}
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		return claim.WriteFailed{}
	}
	return claim.WriteUnknown{}
}

func (k *Keeper) read(key string) core.Event {
	ctx, cancel := context.WithTimeout(context.Background(), k.cfg.CallTimeout)
	defer cancel()
	it, err := k.table.Get(ctx, key)
	if err != nil {
		return claim.LoadFailed{}
	}
	return claim.Loaded{Current: toItem(it)}
}

func toItem(it store.Item) claim.Item {
	if it.Revision == 0 {
		return claim.Item{}
	}
	r, err := claim.Decode(it.Value)
	return claim.Item{Revision: it.Revision, Record: r, Corrupt: err != nil}
}

// recordResult counts consecutive failures; at Config.FailuresToStop it stops
// calls to the table service for Config.StopFor.
func (k *Keeper) recordResult(ev core.Event) {
	switch ev.(type) {
	case claim.WriteFailed, claim.WriteUnknown, claim.LoadFailed:
		if k.failures.Add(1) >= k.cfg.FailuresToStop {
			k.stopUntil.Store(time.Now().Add(k.cfg.StopFor).UnixNano())
		}
	default:
		k.failures.Store(0)
		k.stopUntil.Store(0)
	}
}

// jitter returns a random duration within a quarter of d above or below it.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
