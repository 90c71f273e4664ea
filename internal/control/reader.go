package control

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Reader reads the accepted configuration from the platform: the head, the
// records of changes and the versions. It is safe for concurrent use.
type Reader struct {
	table   store.Table
	objects store.Objects
}

// NewReader returns a reader of the platform's table and object store.
func NewReader(table store.Table, objects store.Objects) *Reader {
	return &Reader{table: table, objects: objects}
}

// Head reads and returns the current head, which is the zero Head before the
// first version. The error is an error of the platform's store or an
// *accept.DecodeError.
func (r *Reader) Head(ctx context.Context) (accept.Head, error) {
	head, _, err := r.readHead(ctx)
	return head, err
}

// readHead returns the current head and its revision in the table.
func (r *Reader) readHead(ctx context.Context) (accept.Head, uint64, error) {
	it, err := r.table.Get(ctx, accept.HeadKey)
	if err != nil {
		return accept.Head{}, 0, err
	}
	head, err := accept.DecodeHead(it.Value)
	return head, it.Revision, err
}

// Change reads and returns the record of an accepted change, or nil when there
// is none. The error is an error of the platform's store or an
// *accept.DecodeError.
func (r *Reader) Change(ctx context.Context, id string) (*accept.Record, error) {
	it, err := r.table.Get(ctx, accept.RecordKey(id))
	if err != nil {
		return nil, err
	}
	if it.Revision == 0 {
		return nil, nil
	}
	return accept.DecodeRecord(id, it.Value)
}

// History returns at most limit accepted versions, newest first. It reads the
// head, which lists the newest accept.RecentLength versions, and follows the
// records of changes from there: one more read for each older version.
func (r *Reader) History(ctx context.Context, limit int) ([]accept.Entry, error) {
	head, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	entries := head.Recent[:min(len(head.Recent), limit)]
	if len(entries) == 0 {
		return nil, nil
	}
	record, err := r.Change(ctx, entries[len(entries)-1].ChangeID)
	for err == nil && record != nil && record.Previous != "" && len(entries) < limit {
		if record, err = r.Change(ctx, record.Previous); record != nil {
			entries = append(entries, record.Entry)
		}
	}
	return entries, err
}

// LoadVersion returns the full version that the head refers to, verified by its
// hash. When held is at most accept.RecentLength versions behind, LoadVersion
// applies the deltas to it, and reads the full version only if that fails. The
// error is a *LoadError.
func (r *Reader) LoadVersion(ctx context.Context, held *snapshot.Snapshot, head accept.Head) (*snapshot.Snapshot, error) {
	if held.Ref() == head.Ref {
		return held, nil
	}
	if s := r.loadDeltas(ctx, held, head); s != nil {
		return s, nil
	}
	body, err := r.objects.Get(ctx, accept.FullKey(head.Ref))
	if err != nil {
		return nil, &LoadError{Ref: head.Ref, Err: err}
	}
	s, err := snapshot.Decode(body)
	if err != nil {
		return nil, &LoadError{Ref: head.Ref, Err: err}
	}
	if s.Ref() != head.Ref {
		return nil, &LoadError{Ref: head.Ref, Err: &snapshot.HashError{Want: head.Ref, Got: s.Ref()}}
	}
	return s, nil
}

// loadDeltas builds the head's version from held and the deltas since. It
// returns nil when held is too old or on any failure; the caller then reads the
// full version.
func (r *Reader) loadDeltas(ctx context.Context, held *snapshot.Snapshot, head accept.Head) *snapshot.Snapshot {
	if held.Version() == 0 || !head.Ref.Newer(held.Ref()) {
		return nil
	}
	behind := head.Ref.Version - held.Version()
	if behind > uint64(len(head.Recent)) {
		return nil
	}
	s := held
	for i := int(behind) - 1; i >= 0; i-- {
		raw, err := r.objects.Get(ctx, accept.DeltaKey(head.Recent[i].Ref))
		if err != nil {
			return nil
		}
		d, err := snapshot.DecodeDelta(raw)
		if err != nil {
			return nil
		}
		if s, err = s.Apply(d); err != nil {
			return nil
		}
	}
	if s.Ref() != head.Ref {
		return nil
	}
	return s
}
