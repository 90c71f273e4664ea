package control

import (
	"context"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// Reader reads the accepted configuration. It is safe for concurrent use.
type Reader struct {
	table   store.Table
	objects store.Objects
}

// NewReader returns a reader over the platform.
func NewReader(table store.Table, objects store.Objects) *Reader {
	return &Reader{table: table, objects: objects}
}

// Head reads the current head; the zero Head before the first version. The
// error is one of platform's or an *accept.DecodeError.
func (r *Reader) Head(ctx context.Context) (accept.Head, error) {
	head, _, err := r.readHead(ctx)
	return head, err
}

func (r *Reader) readHead(ctx context.Context) (accept.Head, uint64, error) {
	it, err := r.table.Get(ctx, accept.HeadKey)
	if err != nil {
		return accept.Head{}, 0, err
	}
	head, err := accept.DecodeHead(it.Value)
	return head, it.Revision, err
}

// Change reads the record of an accepted change; nil when there is none. The
// error is one of platform's or an *accept.DecodeError.
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

// History reads the newest accepted versions, newest first, at most limit. The
// newest accept.RecentLength cost one read, each further one costs one more.
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

// LoadVersion returns the head's version, whole and checked by its hash. When
// held is at most accept.RecentLength versions behind, the deltas are read, and
// the whole version only when they fail. The error is a *LoadError.
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

// loadDeltas returns the head's version by way of deltas, or nil. Any failure
// is left to the reading of the whole version.
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
