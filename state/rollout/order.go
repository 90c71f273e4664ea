package rollout

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/store"
)

// Again reports whether two orders are one that the operators have written again after the
// store came back from an older copy: what had become of it stands.
func (o *Order) Again(other *Order) bool {
	return store.Life(o.Revision) != store.Life(other.Revision) && o.alike(other)
}

func (o *Order) alike(other *Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// rewriteTime is how long after an order was found in another life of the store it may be
// written again, although the copy holds it: later it is an order of its own.
const rewriteTime = time.Minute

// same reports whether an entry is of the order that is held, whose revision it may change.
func (h *held) same(now time.Time, e *Entry) bool {
	if e.Order.Revision == h.Order.Revision || e.Order.Again(&h.Order) {
		return true
	}
	return !h.crossed.IsZero() && now.Sub(h.crossed) < rewriteTime && e.Order.alike(&h.Order)
}

// After reports whether an order replaces another one.
func (o *Order) After(other *Order) bool {
	later := o
	if other.Revision > o.Revision {
		later = other
	}
	if later.Copied && store.Life(o.Revision) != store.Life(other.Revision) {
		// An older copy holds no transaction that the former life hadn't reached.
		return store.Transaction(o.Revision) > store.Transaction(other.Revision)
	}
	return o.Revision > other.Revision
}

// renew takes the revision of the same order where that is a later one, and reports whether it
// was.
func (o *Order) renew(other *Order) bool {
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
