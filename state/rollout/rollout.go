// Package rollout holds what nodes know of roll-outs: the operators' order to move a
// service to another version of its backend servers, how far that has got, and what
// the backend servers of both versions have been seen to do.
//
// Entries and reports are merged in any order and any number of times, and all nodes
// that have heard the same hold the same.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Order is the operators' order to move a service to the backend servers of a version.
type Order struct {
	// Service is the service.
	Service string `cbor:"1,keyasint"`
	// Target is the version that it is moved to.
	Target string `cbor:"2,keyasint"`
	// Revision is the order's revision in the store, by store.InLife.
	Revision uint64 `cbor:"3,keyasint"`
	// Duration is the time from the order within which the roll-out has to end.
	Duration time.Duration `cbor:"4,keyasint"`
	// Copied says that the revision's life is the one in which the order was read. It may
	// have been written in an earlier one, from which the store has a copy.
	Copied bool `cbor:"5,keyasint,omitempty"`
}

// Phase is how far a roll-out has got. It only moves down this list.
type Phase uint8

// The phases.
const (
	// Pending waits until the store holds that the roll-out runs: should the fleet have
	// been restarted, it may have ended long ago. The new version gets nothing.
	Pending Phase = iota
	// Canary sends a small part of the requests to the new version.
	Canary
	// Shifting sends all requests to the new version. The old backend servers still
	// run, so that nothing is lost if it has to be taken back.
	Shifting
	// Stopped sends nothing to the new version. The operators don't know yet.
	Stopped
	// Reverted is as Stopped, and the operators know.
	Reverted
	// Succeeded sends everything to the new version, and the operators stop the old
	// backend servers.
	Succeeded
)

var phaseNames = [...]string{"pending", "canary", "shifting", "stopped", "reverted", "succeeded"}

// String returns the name for logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the phase is one that the operators have been told of as the
// roll-out's end.
func (p Phase) Final() bool { return p == Reverted || p == Succeeded }

// Entry is what is known of a service's last roll-out.
type Entry struct {
	Order Order `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Age is the time since the order at the moment that the entry is handed over.
	Age time.Duration `cbor:"3,keyasint"`
	// Reason says why the version is Stopped or Reverted.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Rejected are versions that earlier orders have named and that were reverted, or
	// replaced before they had succeeded: they get nothing, also while their backend
	// servers still run.
	Rejected []string `cbor:"5,keyasint,omitempty"`
	// Kept is the newest life in which the store is known to hold the phase.
	Kept uint64 `cbor:"6,keyasint,omitempty"`
}

// maxRejected bounds the versions that are remembered; their backend servers leave
// within seconds of the verdict.
const maxRejected = 8

// Table holds the last roll-out of each service. It is not safe for concurrent use.
type Table struct {
	entries map[string]*held
}

// held is an entry and when its order was written, by the own clock.
type held struct {
	Entry
	since time.Time
	// doubted are the targets of orders that this one has replaced before this node knew
	// of an end. Others may know of one, so they are not told.
	doubted []string
	// crossed is when the order was last heard of in another life of the store.
	crossed time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*held)} }

// Len returns the number of services with a roll-out.
func (t *Table) Len() int { return len(t.entries) }

// Get returns what is known of a service's last roll-out.
func (t *Table) Get(now time.Time, service string) (Entry, bool) {
	h := t.entries[service]
	if h == nil {
		return Entry{}, false
	}
	return h.at(now), true
}

// Doubted returns the versions of which this node doesn't know how their roll-outs have
// ended, while the store hasn't told either.
func (t *Table) Doubted(service string) []string {
	h := t.entries[service]
	if h == nil || h.Phase != Pending {
		return nil
	}
	return h.doubted
}

// at returns the entry with its age at a moment.
func (h *held) at(now time.Time) Entry {
	e := h.Entry
	e.Age = now.Sub(h.since)
	e.Rejected = slices.Clone(e.Rejected)
	return e
}

// All returns what is known of each service, in order of its name.
func (t *Table) All(now time.Time) []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, h := range t.entries {
		all = append(all, h.at(now))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return all
}

// Same reports whether an entry is of the order that is held of its service.
func (t *Table) Same(now time.Time, e Entry) bool {
	h := t.entries[e.Order.Service]
	return h != nil && h.same(now, &e)
}

// Merge takes what is known elsewhere and reports whether any of it is news but for its
// age.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if !valid(&e) {
		return false
	}
	h := t.entries[e.Order.Service]
	if h == nil {
		t.entries[e.Order.Service] = newHeld(now, e)
		return true
	}
	switch {
	case h.same(now, &e):
		return h.merge(now, &e)
	case e.Order.After(&h.Order):
		next := newHeld(now, e)
		next.reject(earlier(&h.Entry)...)
		if h.Phase == Pending || h.Phase == Canary || h.Phase == Stopped {
			next.doubted = append(h.doubted, h.Order.Target)
		}
		t.entries[e.Order.Service] = next
		return true
	default:
		return h.reject(earlier(&e)...)
	}
}

// Replaced takes what the store held when the present order replaced it, and reports
// whether any of it is news. That is certain: a version that had not succeeded by then
// never will, and gets nothing.
func (t *Table) Replaced(e Entry) bool {
	h := t.entries[e.Order.Service]
	if h == nil || e.Order.Again(&h.Order) || !h.Order.After(&e.Order) {
		return false
	}
	news := h.reject(e.Rejected...)
	if e.Phase != Succeeded {
		news = h.reject(e.Order.Target) || news
	}
	return news
}

// merge takes another entry of the same order.
func (h *held) merge(now time.Time, e *Entry) bool {
	news := h.reject(e.Rejected...)
	if e.Order.Again(&h.Order) {
		h.crossed = now
	}
	news = h.Order.renew(&e.Order) || news
	if since := now.Add(-e.Age); since.Before(h.since) {
		h.since = since
	}
	if e.Phase > h.Phase {
		h.Phase, h.Reason, h.Kept = e.Phase, e.Reason, e.Kept
		return true
	}
	if e.Phase == h.Phase && e.Kept > h.Kept {
		h.Kept = e.Kept
		news = true
	}
	return news
}

func newHeld(now time.Time, e Entry) *held {
	e.Rejected = slices.Clone(e.Rejected)
	return &held{Entry: e, since: now.Add(-e.Age)}
}

// earlier returns the versions that get nothing by an entry of an earlier order. Its own
// target is one of them only where the operators have been told so: it may have succeeded
// meanwhile, which this entry doesn't know.
func earlier(e *Entry) []string {
	if e.Phase != Reverted {
		return e.Rejected
	}
	return append(slices.Clone(e.Rejected), e.Order.Target)
}

// reject adds versions that get nothing, and reports whether one of them is news. What
// the present order names gets its part again.
func (h *held) reject(versions ...string) bool {
	before := len(h.Rejected)
	for _, v := range versions {
		if v != h.Order.Target && !slices.Contains(h.Rejected, v) && len(h.Rejected) < maxRejected {
			h.Rejected = append(h.Rejected, v)
		}
	}
	slices.Sort(h.Rejected)
	return len(h.Rejected) > before
}

// valid reports whether an entry can be used: a peer may send any.
func valid(e *Entry) bool {
	o := &e.Order
	return o.Service != "" && len(o.Service) <= model.MaxNameLength &&
		o.Target != "" && len(o.Target) <= model.MaxNameLength &&
		o.Revision > 0 && o.Duration > 0 && e.Phase <= Succeeded && e.Age >= 0 && len(e.Rejected) <= maxRejected
}

// Digest returns a hash of what a table holds; 0 for an empty one. Ages take no part.
func (t *Table) Digest() uint64 {
	var sum uint64
	for service, h := range t.entries {
		sum += xxhash.Sum64String(fmt.Sprintf("%q %d %d %q", service, h.Order.Revision, h.Phase, h.Rejected)) + h.Kept
	}
	return sum
}
