// Package store defines the interfaces to the platform's table service and object
// store, which are the only durable storage, with their records and errors. Package
// platform implements them.
package store

import (
	"context"
	"fmt"
)

// Item is one item of the table service.
type Item struct {
	// Key is the item's key.
	Key string `json:"key"`
	// Value is the item's content.
	Value []byte `json:"value"`
	// Revision is set by the table service and increases with each write of the
	// item; 0 means that the item does not exist.
	Revision uint64 `json:"revision"`
}

// Write is one conditional write of a transaction.
type Write struct {
	// Key is the item's key.
	Key string `json:"key"`
	// Value is the new content. It is ignored when Delete is set.
	Value []byte `json:"value,omitempty"`
	// Delete removes the item.
	Delete bool `json:"delete,omitempty"`
	// IfRevision is the revision that the item must have; 0 means that it
	// must not exist.
	IfRevision uint64 `json:"ifRevision"`
}

// Table is the transactional table service. All writes are conditional.
// Implementations are safe for concurrent use.
type Table interface {
	// Get returns one item by a consistent read. A missing item is returned with
	// revision 0 and without an error.
	Get(ctx context.Context, key string) (Item, error)
	// List returns at most limit items whose keys start with prefix and sort after
	// the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Item, error)
	// Transact applies all writes or none and returns the new revisions
	// in order. It returns a *ConditionError when a condition failed and an
	// *UnknownError when the writes may have taken effect.
	Transact(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the object store. Objects are written once and not changed.
// Implementations are safe for concurrent use.
type Objects interface {
	// Put stores an object. Putting the same content again is harmless.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an object's content. It returns a *NotFoundError for a missing one.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns at most limit keys that start with prefix and sort after the key
	// after, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes an object. Removing a missing one is no error.
	Delete(ctx context.Context, key string) error
}

// ConditionError reports a transaction that was rejected as a whole because an item
// did not have the required revision. Nothing was written.
type ConditionError struct {
	// Key is the first item whose condition failed.
	Key string
	// Current is that item as the store holds it.
	Current Item
}

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("item %s has revision %d: condition failed", e.Key, e.Current.Revision)
}

// Conflict returns the *ConditionError of a rejected transaction: it names the first
// write whose item doesn't have the required revision. current holds the items of the
// writes as the store has them; an item that is missing there doesn't exist. Conflict
// returns nil if all conditions hold.
func Conflict(writes []Write, current []Item) error {
	held := make(map[string]Item, len(current))
	for _, it := range current {
		held[it.Key] = it
	}
	for i := range writes {
		key := writes[i].Key
		it := held[key]
		if it.Revision == writes[i].IfRevision {
			continue
		}
		it.Key = key
		return &ConditionError{Key: key, Current: it}
	}
	return nil
}

// NotFoundError reports a missing object.
type NotFoundError struct {
	// Key is the object's key.
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return "object " + e.Key + " not found" }

// UnavailableError reports a call that certainly had no effect.
type UnavailableError struct {
	// Op names the call.
	Op string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "platform " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RefusedError reports a call that the platform rejects permanently, such as a
// malformed one, so a retry can't succeed. It had no effect.
type RefusedError struct {
	// Op names the call.
	Op string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RefusedError) Error() string { return "platform " + e.Op + ": refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnknownError reports a write that may have taken effect, because its response was
// lost or late. The caller finds the outcome by reading and must not repeat the write
// without that.
type UnknownError struct {
	// Op names the call.
	Op string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return "platform " + e.Op + ": outcome not known: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
