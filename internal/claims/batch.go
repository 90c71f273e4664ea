package claims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// job is one write that waits for its transaction.
type job struct {
	write store.Write
	// due is when the write goes out at the latest.
	due time.Time
	// expires is when the write is given up unsent.
	expires time.Time
	done    chan result
}

// result is a job's result.
type result struct {
	revision uint64
	err      error
}

// batcher joins the conditional writes of one node into transactions. A write
// that finds no transaction in flight goes out at once; others wait for the
// end of the one in flight, at most BatchConfig.Wait. It is safe for
// concurrent use.
type batcher struct {
	cfg     BatchConfig
	timeout time.Duration
	table   store.Table

	mu       sync.Mutex
	queue    []*job
	inFlight int
	timer    *time.Timer
}

func newBatcher(cfg BatchConfig, timeout time.Duration, table store.Table) *batcher {
	return &batcher{cfg: cfg, timeout: timeout, table: table}
}

// write carries out one conditional write and returns the item's new
// revision. The errors are those of store.Table.
func (b *batcher) write(w store.Write, lazy bool) (uint64, error) {
	j := &job{write: w, done: make(chan result, 1)}
	now := time.Now()
	j.due = now.Add(b.cfg.Wait)
	j.expires = now.Add(b.timeout)
	if lazy {
		j.due = now.Add(b.cfg.LazyWait)
		j.expires = now.Add(b.timeout + b.cfg.LazyWait)
	}
	if !b.enqueue(j, lazy) {
		return 0, &store.UnavailableError{Op: "transact", Err: &QueueFullError{Limit: b.cfg.MaxQueue}}
	}
	r := <-j.done
	return r.revision, r.err
}

func (b *batcher) enqueue(j *job, lazy bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.cfg.MaxQueue {
		return false
	}
	b.queue = append(b.queue, j)
	idle := b.inFlight == 0 && !lazy
	if idle || len(b.queue) >= b.cfg.Max {
		b.flush()
	}
	b.arm()
	return true
}

// flush sends one batch unless too many are in flight. The caller holds mu.
func (b *batcher) flush() {
	if b.inFlight >= b.cfg.InFlight {
		return
	}
	batch := b.take(time.Now())
	if len(batch) == 0 {
		return
	}
	b.inFlight++
	go b.commit(batch)
}

// take removes the next batch from the queue: no item twice, since a
// transaction can't hold two writes of one item. The caller holds mu.
func (b *batcher) take(now time.Time) []*job {
	var batch, rest []*job
	keys := make(map[string]bool)
	for _, j := range b.queue {
		switch {
		case now.After(j.expires):
			j.done <- result{err: &store.UnavailableError{Op: "transact", Err: &ExpiredError{}}}
		case len(batch) >= b.cfg.Max || keys[j.write.Key]:
			rest = append(rest, j)
		default:
			keys[j.write.Key] = true
			batch = append(batch, j)
		}
	}
	b.queue = rest
	return batch
}

// arm sets the timer for the first write that is due. The caller holds mu.
func (b *batcher) arm() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if len(b.queue) == 0 || b.inFlight >= b.cfg.InFlight {
		return // the end of a transaction comes first
	}
	due := b.queue[0].due
	for _, j := range b.queue[1:] {
		if j.due.Before(due) {
			due = j.due
		}
	}
	b.timer = time.AfterFunc(time.Until(due), b.wake)
}

func (b *batcher) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
	b.arm()
}

// commit carries out one batch and starts the next.
func (b *batcher) commit(batch []*job) {
	b.transact(batch)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	if b.urgent(time.Now()) {
		b.flush()
	}
	b.arm()
}

// urgent reports whether a queued write is due within Wait. The caller holds
// mu.
func (b *batcher) urgent(now time.Time) bool {
	limit := now.Add(b.cfg.Wait)
	for _, j := range b.queue {
		if !j.due.After(limit) {
			return true
		}
	}
	return len(b.queue) >= b.cfg.Max
}

// transact carries out a batch. A failed condition of one write refuses the
// whole transaction, so the others are then written one by one.
func (b *batcher) transact(batch []*job) {
	writes := make([]store.Write, len(batch))
	for i, j := range batch {
		writes[i] = j.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	revisions, err := b.table.Transact(ctx, writes)
	cancel()
	var refused *store.ConditionError
	if len(batch) > 1 && errors.As(err, &refused) {
		b.oneByOne(batch, refused)
		return
	}
	for i, j := range batch {
		if err != nil {
			j.done <- result{err: err}
			continue
		}
		j.done <- result{revision: revisions[i]}
	}
}

func (b *batcher) oneByOne(batch []*job, refused *store.ConditionError) {
	var wg sync.WaitGroup
	for _, j := range batch {
		if j.write.Key == refused.Key {
			j.done <- result{err: refused}
			continue
		}
		wg.Go(func() { b.transact([]*job{j}) })
	}
	wg.Wait()
}

// QueueFullError reports a write refused because too many wait.
type QueueFullError struct {
	// Limit is the largest number of writes that wait.
	Limit int
}

// Error implements error.
func (e *QueueFullError) Error() string { return "queue of writes is full" }

// ExpiredError reports a write that waited too long and was not sent.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "write not sent in time" }
