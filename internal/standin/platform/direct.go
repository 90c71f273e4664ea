package platform

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/platform"
)

// The operations, as counted.
const (
	opGet          = "table.get"
	opList         = "table.list"
	opTransact     = "table.transact"
	opObjectPut    = "object.put"
	opObjectGet    = "object.get"
	opObjectList   = "object.list"
	opObjectDelete = "object.delete"
)

// The faults named by a FaultError.
const (
	faultDown    = "down"
	faultRate    = "rate cap"
	faultRequest = "request lost"
	faultAnswer  = "answer lost"
)

// FaultError is the cause of a call that a fault switch made fail.
type FaultError struct {
	// Fault names the switch.
	Fault string
}

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// Table returns the table service for use without HTTP.
func (s *Store) Table() platform.Table { return &table{s} }

// Objects returns the object store for use without HTTP.
func (s *Store) Objects() platform.Objects { return &objects{s} }

// operation is one call of the stand-in.
type operation struct {
	op     string
	writes int // items written; 0 is a read
	size   int // bytes written
}

// lost returns the error of an operation without an answer.
func (o operation) lost(err error) error {
	if o.writes > 0 {
		return &platform.UnknownError{Op: o.op, Err: err}
	}
	return &platform.UnavailableError{Op: o.op, Err: err}
}

// run carries out effect under the faults, as a caller sees it over a network.
func run[T any](ctx context.Context, s *Store, o operation, effect func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, &platform.UnavailableError{Op: o.op, Err: err}
	}
	v, delay := s.begin(o.op, o.writes, o.size)
	switch {
	case v.down:
		return none, &platform.UnavailableError{Op: o.op, Err: &FaultError{faultDown}}
	case v.throttled:
		return none, &platform.UnavailableError{Op: o.op, Err: &FaultError{faultRate}}
	case v.loseRequest:
		return none, o.lost(&FaultError{faultRequest})
	}
	result, err := later(ctx, o, delay, effect)
	if v.loseAnswer {
		return none, o.lost(&FaultError{faultAnswer})
	}
	return result, err
}

// later carries out effect after the delay, whether or not the caller waits.
func later[T any](ctx context.Context, o operation, delay time.Duration, effect func() (T, error)) (T, error) {
	if delay <= 0 {
		return effect()
	}
	var result T
	var err error
	done := make(chan struct{})
	time.AfterFunc(delay, func() {
		result, err = effect()
		close(done)
	})
	select {
	case <-done:
		return result, err
	case <-ctx.Done():
		var none T
		return none, o.lost(ctx.Err())
	}
}

// table implements platform.Table.
type table struct{ s *Store }

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, key string) (platform.Item, error) {
	return run(ctx, t.s, operation{op: opGet}, func() (platform.Item, error) {
		return t.s.get(key), nil
	})
}

// List implements platform.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Item, error) {
	return run(ctx, t.s, operation{op: opList}, func() ([]platform.Item, error) {
		return t.s.list(prefix, after, limit), nil
	})
}

// Transact implements platform.Table.
func (t *table) Transact(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	return run(ctx, t.s, transaction(writes), func() ([]uint64, error) {
		return t.s.transact(writes)
	})
}

func transaction(writes []platform.Write) operation {
	o := operation{op: opTransact, writes: len(writes)}
	for _, w := range writes {
		o.size += len(w.Value)
	}
	return o
}

// objects implements platform.Objects.
type objects struct{ s *Store }

// Put implements platform.Objects.
func (o *objects) Put(ctx context.Context, key string, body []byte) error {
	_, err := run(ctx, o.s, operation{op: opObjectPut, writes: 1, size: len(body)}, func() (struct{}, error) {
		o.s.putObject(key, body)
		return struct{}{}, nil
	})
	return err
}

// Get implements platform.Objects.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	return run(ctx, o.s, operation{op: opObjectGet}, func() ([]byte, error) {
		return o.s.getObject(key)
	})
}

// List implements platform.Objects.
func (o *objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return run(ctx, o.s, operation{op: opObjectList}, func() ([]string, error) {
		return o.s.listObjects(prefix, after, limit), nil
	})
}

// Delete implements platform.Objects.
func (o *objects) Delete(ctx context.Context, key string) error {
	_, err := run(ctx, o.s, operation{op: opObjectDelete, writes: 1}, func() (struct{}, error) {
		o.s.deleteObject(key)
		return struct{}{}, nil
	})
	return err
}
