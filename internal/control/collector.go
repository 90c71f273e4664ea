package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/collect"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	// Collect sets what is kept.
	Collect collect.Config
	// Page is the number of keys or records read in one call. It also bounds
	// the removals of one sweep, so that a long backlog does not use up the
	// platform's writes.
	Page int
}

// DefaultCollectorConfig returns the defaults.
func DefaultCollectorConfig() CollectorConfig {
	return CollectorConfig{Collect: collect.DefaultConfig(), Page: 100}
}

// Collector removes superseded objects and records. Any number may run at a
// time, in any process, without a lease. It is not safe for concurrent use.
type Collector struct {
	Reader
	cfg  CollectorConfig
	core *collect.Collector
	// after is the record key up to which the records were looked at.
	after string
}

// NewCollector returns a collector over the platform.
func NewCollector(cfg CollectorConfig, table store.Table, objects store.Objects) *Collector {
	return &Collector{
		Reader: Reader{table: table, objects: objects},
		cfg:    cfg,
		core:   collect.New(cfg.Collect),
	}
}

// Swept counts what a sweep removed.
type Swept struct {
	// Objects and Records are the numbers removed.
	Objects, Records int
}

// Sweep looks at the oldest objects and at one page of records, and removes
// what is no longer needed. It should be called about once a minute. A sweep
// that fails in the middle is continued by the next one. The error is one of
// platform's or an *accept.DecodeError.
func (c *Collector) Sweep(ctx context.Context, now time.Time) (Swept, error) {
	var done Swept
	head, err := c.Head(ctx)
	if err != nil {
		return done, err
	}
	c.core.Observe(now, head.Ref.Version)
	for _, prefix := range []string{accept.FullPrefix, accept.DeltaPrefix} {
		n, err := c.sweepObjects(ctx, now, prefix)
		done.Objects += n
		if err != nil {
			return done, err
		}
	}
	done.Records, err = c.sweepRecords(ctx, now)
	return done, err
}

// sweepObjects removes the oldest objects; keys are in order of version.
func (c *Collector) sweepObjects(ctx context.Context, now time.Time, prefix string) (int, error) {
	keys, err := c.objects.List(ctx, prefix, "", c.cfg.Page)
	if err != nil {
		return 0, err
	}
	old := c.core.RemovableObjects(now, keys)
	for i, key := range old {
		if err := c.objects.Delete(ctx, key); err != nil {
			return i, err
		}
	}
	return len(old), nil
}

// sweepRecords looks at the next page of records, in turn.
func (c *Collector) sweepRecords(ctx context.Context, now time.Time) (int, error) {
	if !c.core.RecordRemovable(now, 1) {
		return 0, nil // not even the first one
	}
	items, err := c.table.List(ctx, accept.RecordPrefix, c.after, c.cfg.Page)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, it := range items {
		ok, err := c.removeRecord(ctx, now, it)
		if err != nil {
			return removed, err
		}
		if ok {
			removed++
		}
	}
	c.after = ""
	if len(items) == c.cfg.Page {
		c.after = items[len(items)-1].Key
	}
	return removed, nil
}

// removeRecord removes a record that is old enough. The removal is conditional,
// so that of two collectors one removes it and the other goes on.
func (c *Collector) removeRecord(ctx context.Context, now time.Time, it store.Item) (bool, error) {
	record, err := accept.DecodeRecord(it.Key[len(accept.RecordPrefix):], it.Value)
	if err != nil {
		return false, err
	}
	if !c.core.RecordRemovable(now, record.Entry.Ref.Version) {
		return false, nil
	}
	_, err = c.table.Transact(ctx, []store.Write{{Key: it.Key, Delete: true, IfRevision: it.Revision}})
	var condition *store.ConditionError
	if errors.As(err, &condition) {
		return false, nil
	}
	return err == nil, err
}
