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
	// Collect sets which versions and records are kept, and for how long.
	Collect collect.Config
	// Page is the maximum number of keys or records that one call lists. It
	// also bounds the removals of a sweep (per kind of object and for records),
	// so that a large backlog does not exhaust the platform's write capacity.
	Page int
}

// DefaultCollectorConfig returns the default configuration of a Collector.
func DefaultCollectorConfig() CollectorConfig {
	return CollectorConfig{Collect: collect.DefaultConfig(), Page: 100}
}

// Collector is the garbage collector of the platform: it removes superseded
// objects and old records. Any number of collectors may run concurrently, in
// any processes, without a lease; a single Collector is not safe for concurrent
// use.
type Collector struct {
	Reader
	cfg  CollectorConfig
	core *collect.Collector
	// lastKey is the key of the last record that was examined; the next sweep
	// continues after it. It is empty at the start of a pass over all records.
	lastKey string
}

// NewCollector returns a collector of the platform's table and object store.
func NewCollector(cfg CollectorConfig, table store.Table, objects store.Objects) *Collector {
	return &Collector{
		Reader: Reader{table: table, objects: objects},
		cfg:    cfg,
		core:   collect.New(cfg.Collect),
	}
}

// Swept counts the removals of one sweep.
type Swept struct {
	// Objects and Records are the numbers of objects and records removed.
	Objects, Records int
}

// Sweep examines the oldest objects and one page of records, and removes those
// that are no longer needed. It should be called about once a minute. When a
// sweep fails partway, the next one continues its work. The error is an error
// of the platform's store or an *accept.DecodeError.
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

// sweepObjects removes the oldest objects under a prefix that are no longer
// needed, and returns their number. The keys are listed in order of version,
// so the first page holds the oldest objects.
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

// sweepRecords examines the next page of records and returns the number of
// records removed. After the last page it starts again at the first.
func (c *Collector) sweepRecords(ctx context.Context, now time.Time) (int, error) {
	if !c.core.RecordRemovable(now, 1) {
		return 0, nil // not even the record of version 1 is removable
	}
	items, err := c.table.List(ctx, accept.RecordPrefix, c.lastKey, c.cfg.Page)
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
	c.lastKey = ""
	if len(items) == c.cfg.Page {
		c.lastKey = items[len(items)-1].Key
	}
	return removed, nil
}

// removeRecord removes a record if it is old enough, and reports whether it did.
// The removal is conditional on the record's revision, so that when two
// collectors race, one removes the record and the other continues.
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
