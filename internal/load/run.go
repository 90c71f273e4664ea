package load

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Names of the arms.
const (
	// ArmMesh sends through the mesh.
	ArmMesh = "mesh"
	// ArmDirect sends to the backend servers.
	ArmDirect = "direct"
)

// Arm is a set of addresses that are tried alike.
type Arm struct {
	// Name is ArmMesh or ArmDirect.
	Name string
	// Addresses are loopback addresses, IP:port.
	Addresses []string
}

// Run offers the plan to the arms and returns what was measured. Operations
// take the arms in turn, so that two arms are compared under the same load of
// the machine. When ctx ends no new operations are sent. The error is a *PlanError or an
// *ArmError.
func Run(ctx context.Context, p Plan, arms []Arm) (Result, error) {
	if err := p.Validate(); err != nil {
		return Result{}, err
	}
	for _, a := range arms {
		if len(a.Addresses) == 0 {
			return Result{}, &ArmError{Name: a.Name}
		}
	}
	run := uuid.NewString()[:8]
	r := &runner{
		plan:    p,
		arms:    arms,
		run:     run,
		caller:  newCaller(p),
		record:  newRecorder(run, arms, p.Classes),
		started: time.Now(),
	}
	defer r.caller.close()
	if p.Loop == LoopOpen {
		r.open(ctx)
	} else {
		r.closed(ctx)
	}
	return r.record.finish(time.Since(r.started)), nil
}

// ArmError reports an arm without addresses.
type ArmError struct {
	// Name is the arm's name.
	Name string
}

// Error implements error.
func (e *ArmError) Error() string { return "no addresses for " + e.Name }

// runner is one run.
type runner struct {
	plan    Plan
	arms    []Arm
	run     string
	caller  *caller
	record  *recorder
	started time.Time
}

// open sends each operation when it is due.
func (r *runner) open(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, r.plan.InFlight)
	plan := newSchedule(r.plan)
	for op, ok := plan.next(); ok; op, ok = plan.next() {
		due := r.started.Add(op.at)
		if !sleep(ctx, time.Until(due)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			r.record.unsent()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.record.late(time.Since(due))
			r.operate(context.WithoutCancel(ctx), op, due)
		})
	}
	wg.Wait()
}

// closed lets each worker send its next operation after an answer.
func (r *runner) closed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration.Std())
	defer cancel()
	var mu sync.Mutex
	plan := newSchedule(r.plan)
	next := func() (operation, bool) {
		mu.Lock()
		defer mu.Unlock()
		return plan.next()
	}
	var wg sync.WaitGroup
	for range r.plan.Workers {
		wg.Go(func() {
			for op, ok := next(); ok && ctx.Err() == nil; op, ok = next() {
				r.operate(context.WithoutCancel(ctx), op, time.Now())
			}
		})
	}
	wg.Wait()
}

// operate sends one operation with its repeat.
func (r *runner) operate(ctx context.Context, op operation, due time.Time) {
	if !op.repeat {
		r.send(ctx, op, 0, due)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.send(ctx, op, 1, due) })
	r.send(ctx, op, 0, due)
	wg.Wait()
}

// maxRetryWait bounds the wait before a retry, whatever Retry-After says.
const maxRetryWait = 3 * time.Second

// send sends one copy of an operation with its retries.
func (r *runner) send(ctx context.Context, op operation, copied int, due time.Time) {
	arm := op.seq % len(r.arms)
	class := r.plan.Classes[op.class]
	cell := arm*len(r.plan.Classes) + op.class
	for try := 0; try <= class.Retries; try++ {
		s := r.sent(op, copied, try)
		addresses := r.arms[arm].Addresses
		address := addresses[(op.seq/len(r.arms)+copied+try)%len(addresses)]
		began := time.Now()
		v := r.caller.call(ctx, address, class, s)
		sinceDue := time.Since(due)
		if try > 0 {
			sinceDue = 0
		}
		r.record.record(cell, s.id, v, time.Since(began), sinceDue)
		if v.label == LabelAnswered || try == class.Retries {
			return
		}
		if !sleep(ctx, min(v.retryAfter, maxRetryWait)) {
			return
		}
	}
}

// sleep waits; false when ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
