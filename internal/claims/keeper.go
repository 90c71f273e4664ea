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

// Keeper claims Idempotency-Keys in the table service. It is safe for
// concurrent use.
type Keeper struct {
	cfg   Config
	table store.Table
	batch *batcher
	slots chan struct{}
	work  sync.WaitGroup
	// closing is closed when Close runs out of time: retries end.
	closing chan struct{}
	once    sync.Once
	// failures counts failed calls in a row.
	failures atomic.Int64
	// stopUntil is when the table service is asked again, in nanoseconds.
	stopUntil atomic.Int64
	stats     Stats
}

// Stats counts what a Keeper did.
type Stats struct {
	// Claimed counts requests that may be sent.
	Claimed atomic.Uint64
	// Replayed counts repeats answered with the earlier answer.
	Replayed atomic.Uint64
	// Refused counts requests that were not sent.
	Refused atomic.Uint64
	// Stuck counts keys left claimed because the last write failed for good.
	Stuck atomic.Uint64
}

// New returns a Keeper over the table.
func New(cfg Config, table store.Table) *Keeper {
	return &Keeper{
		cfg:     cfg,
		table:   table,
		batch:   newBatcher(cfg.Batch, cfg.CallTimeout, table),
		slots:   make(chan struct{}, cfg.MaxBackground),
		closing: make(chan struct{}),
	}
}

// Stats returns the counters.
func (k *Keeper) Stats() *Stats { return &k.stats }

// VerdictKind says what to do with a request.
type VerdictKind uint8

// The kinds of verdict.
const (
	// Proceed means that the request may be sent through its Claim.
	Proceed VerdictKind = iota
	// Replay means that the request is answered with Verdict.Answer.
	Replay
	// Refuse means that the request is refused with Verdict.Refusal.
	Refuse
)

// Verdict says what to do with a request.
type Verdict struct {
	// Kind tells which of the other fields is set.
	Kind VerdictKind
	// Answer is the earlier answer of a Replay.
	Answer claim.Answer
	// Refusal says what the caller of a Refuse is told.
	Refusal claim.Refuse
}

// Begin claims an organisation's key for one request. The Claim is nil unless the
// verdict is Proceed; then exactly one of its Done, NotRun and Unknown must be
// called. When ctx ends first the verdict is a refusal as not run.
func (k *Keeper) Begin(
	ctx context.Context, organisation, key string, fp claim.Fingerprint,
) (*Claim, Verdict) {
	if time.Now().UnixNano() < k.stopUntil.Load() {
		return nil, k.count(k.away())
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

func (k *Keeper) away() Verdict {
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

// Close waits for outstanding writes until ctx ends, then gives up those that
// wait for a retry. It is called after the last request has ended.
func (k *Keeper) Close(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		k.work.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		k.once.Do(func() { close(k.closing) })
		return errors.Wrap(ctx.Err(), "claims: writes outstanding")
	}
}

// perform carries out a Write or Read and returns what came of it.
func (k *Keeper) perform(key string, a core.Action) core.Event {
	var ev core.Event
	switch a := a.(type) {
	case claim.Write:
		ev = k.write(key, a)
	case claim.Read:
		ev = k.read(key)
	}
	k.observe(ev)
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
	var refused *store.ConditionError
	if errors.As(err, &refused) {
		return claim.Conflict{Current: toItem(refused.Current)}
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

// observe stops asking a table service that keeps failing.
func (k *Keeper) observe(ev core.Event) {
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

// jitter returns d plus or minus a quarter.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
