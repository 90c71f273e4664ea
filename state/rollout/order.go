package rollout

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// RewriteOf reports whether two orders are the same one, rewritten by the operators after
// the store was restored from an older copy. Its phase and verdict then stay valid.
func (o *Order) RewriteOf(other *Order) bool {
	return store.Epoch(o.Revision) != store.Epoch(other.Revision) && o.sameContent(other)
}

// sameContent reports whether two orders have the same service, target and duration.
func (o *Order) sameContent(other *Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// rewriteWindow is the time after an order was received from another epoch of the store
// during which the operators may rewrite it although the restored copy holds it. An equal
// order that arrives later is a new order.
const rewriteWindow = time.Minute

// same reports whether an entry is of the order of h, possibly under another revision.
func (h *held) same(now time.Time, e *Entry) bool {
	if e.Order.Revision == h.Order.Revision || e.Order.RewriteOf(&h.Order) {
		return true
	}
	return !h.otherEpochAt.IsZero() && now.Sub(h.otherEpochAt) < rewriteWindow && e.Order.sameContent(&h.Order)
}

// After reports whether o replaces other.
func (o *Order) After(other *Order) bool {
	later := o
	if other.Revision > o.Revision {
		later = other
	}
	if later.Copied && store.Epoch(o.Revision) != store.Epoch(other.Revision) {
		// Transactions in the older copy were already made in the former epoch, so their
		// numbers can be compared.
		return store.Transaction(o.Revision) > store.Transaction(other.Revision)
	}
	return o.Revision > other.Revision
}

// adoptRevision takes over the revision of other, which is the same order, if it is a later
// one, and reports whether it was.
func (o *Order) adoptRevision(other *Order) bool {
	if other.Revision < o.Revision {
		return false
	}
	if other.Revision == o.Revision {
		o.Copied = o.Copied && other.Copied
		return false
	}
	o.Revision, o.Copied = other.Revision, other.Copied
	return true
}
