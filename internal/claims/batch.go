package claims

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// job is a queued write and the channel on which its caller waits for the
// result.
type job struct {
	write store.Write
	// due is the time at which the batch timer sends the write, if no earlier
	// transaction has taken it.
	due time.Time
	// expires is the time after which the write fails without being sent.
	expires time.Time
	done    chan result
}

// result is the outcome of a job: the item's new revision or an error.
type result struct {
	revision uint64
	err      error
}

// batcher groups the conditional writes of one node into transactions. With no
// transaction in flight, a claim is sent at once; otherwise it waits until a
// transaction ends or the queue fills a batch, at most BatchConfig.Wait while
// BatchConfig.InFlight allows another transaction. Lazy writes may wait up to
// BatchConfig.LazyWait in either case. It is safe for concurrent use.
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

// write queues one conditional write, waits for its transaction and returns
// the item's new revision. A lazy write may be delayed by BatchConfig.LazyWait
// to share a transaction. The errors are those of store.Table.
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
	b.armTimer()
	return true
}

// flush starts the transaction of one batch unless BatchConfig.InFlight
// transactions are in flight. The caller holds mu.
func (b *batcher) flush() {
	if b.inFlight >= b.cfg.InFlight {
		return
	}
	batch := b.takeBatch(time.Now())
	if len(batch) == 0 {
		return
	}
	b.inFlight++
	go b.commit(batch)
}

// takeBatch removes the next batch from the queue and fails the expired jobs.
// A batch has at most one write per item, since a transaction can't hold two
// writes of one item. The caller holds mu.
func (b *batcher) takeBatch(now time.Time) []*job {
	var batch, rest []*job
	batchKeys := make(map[string]bool)
	for _, j := range b.queue {
		switch {
		case now.After(j.expires):
			j.done <- result{err: &store.UnavailableError{Op: "transact", Err: &ExpiredError{}}}
		case len(batch) >= b.cfg.Max || batchKeys[j.write.Key]:
			rest = append(rest, j)
		default:
			batchKeys[j.write.Key] = true
			batch = append(batch, j)
		}
	}
	b.queue = rest
	return batch
}

// armTimer sets the timer to the earliest due time in the queue. The caller
// holds mu.
func (b *batcher) armTimer() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if len(b.queue) == 0 || b.inFlight >= b.cfg.InFlight {
		return // commit calls flush or armTimer when a transaction ends
	}
	due := b.queue[0].due
	for _, j := range b.queue[1:] {
		if j.due.Before(due) {
			due = j.due
		}
	}
	b.timer = time.AfterFunc(time.Until(due), b.onTimer)
}

func (b *batcher) onTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flush()
	b.armTimer()
}

// commit runs the transaction of one batch and then, if shouldFlush reports
// true, starts the next.
func (b *batcher) commit(batch []*job) {
	b.transact(batch)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	if b.shouldFlush(time.Now()) {
		b.flush()
	}
	b.armTimer()
}

// shouldFlush reports whether a queued write is due within BatchConfig.Wait or
// the queue fills a batch. The caller holds mu.
func (b *batcher) shouldFlush(now time.Time) bool {
	limit := now.Add(b.cfg.Wait)
	for _, j := range b.queue {
		if !j.due.After(limit) {
			return true
		}
	}
	return len(b.queue) >= b.cfg.Max
}

// transact runs a batch as one transaction. A failed condition of one write
// fails the whole transaction; the other writes are then sent in transactions
// of their own.
func (b *batcher) transact(batch []*job) {
	writes := make([]store.Write, len(batch))
	for i, j := range batch {
		writes[i] = j.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	revisions, err := b.table.Transact(ctx, writes)
	cancel()
	var conflict *store.ConditionError
	if len(batch) > 1 && errors.As(err, &conflict) {
		b.writeSeparately(batch, conflict)
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

func (b *batcher) writeSeparately(batch []*job, conflict *store.ConditionError) {
	var wg sync.WaitGroup
	for _, j := range batch {
		if j.write.Key == conflict.Key {
			j.done <- result{err: conflict}
			continue
		}
		wg.Go(func() { b.transact([]*job{j}) })
	}
	wg.Wait()
}

// QueueFullError reports that a write was rejected because the queue is full.
type QueueFullError struct {
	// Limit is the capacity of the queue, in writes.
	Limit int
}

// Error implements error.
func (e *QueueFullError) Error() string { return "queue of writes is full" }

// ExpiredError reports that a write expired in the queue and was not sent.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "write not sent in time" }
