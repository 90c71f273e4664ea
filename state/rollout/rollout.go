// Package rollout holds the replicated state of roll-outs: the operators' order to move a
// service to another version of its backend servers, the phase that the roll-out has
// reached, and the results of the backend servers of both versions.
//
// Entries and reports can be merged in any order and any number of times; nodes that have
// received the same ones hold the same state.
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
	// Target is the version to which it is moved.
	Target string `cbor:"2,keyasint"`
	// Revision is the order's revision in the store, by store.InEpoch.
	Revision uint64 `cbor:"3,keyasint"`
	// Duration is the time limit of the roll-out, counted from the order.
	Duration time.Duration `cbor:"4,keyasint"`
	// Copied means that the revision's epoch is the one in which the order was read. The
	// order may have been written in an earlier epoch, of which the store holds a copy.
	Copied bool `cbor:"5,keyasint,omitempty"`
}

// Phase is the progress of a roll-out. It never returns to an earlier phase of the list.
type Phase uint8

// The phases.
const (
	// Pending means that the store doesn't yet record the roll-out as running. The new
	// version gets no requests: if the whole fleet was restarted, the roll-out may have
	// ended long ago.
	Pending Phase = iota
	// Canary sends a small fraction of the requests to the new version.
	Canary
	// Shifting sends all requests to the new version. The old backend servers still
	// run, so that a rollback loses no capacity.
	Shifting
	// Stopped sends no requests to the new version. The operators haven't been notified
	// yet.
	Stopped
	// Reverted is Stopped after the operators have been notified.
	Reverted
	// Succeeded sends all requests to the new version, and the operators stop the old
	// backend servers.
	Succeeded
)

var phaseNames = [...]string{"pending", "canary", "shifting", "stopped", "reverted", "succeeded"}

// String returns the phase's name for logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the phase is one that the operators are notified of as the end of
// the roll-out.
func (p Phase) Final() bool { return p == Reverted || p == Succeeded }

// Entry is the state of a service's last roll-out.
type Entry struct {
	Order Order `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// Age is the time since the order, as of when the entry was returned or sent.
	Age time.Duration `cbor:"3,keyasint"`
	// Reason is the reason for the phase Stopped or Reverted.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Rejected lists the target versions of earlier orders that were reverted, or replaced
	// before they had succeeded. They get no requests, even while their backend servers
	// still run.
	Rejected []string `cbor:"5,keyasint,omitempty"`
	// StoredEpoch is the newest epoch of the store in which the store was seen to hold the
	// phase; 0 if none.
	StoredEpoch uint64 `cbor:"6,keyasint,omitempty"`
}

// maxReason limits the length of Entry.Reason in bytes.
const maxReason = 512

// maxRejected limits the number of rejected versions of an entry. A few suffice: their
// backend servers leave within seconds of the verdict.
const maxRejected = 8

// Table holds the last roll-out of each service. It is not safe for concurrent use.
type Table struct {
	entries map[string]*held
}

// held is an entry of a table. since is the time of its order by the local clock.
type held struct {
	Entry
	since time.Time
	// unresolved lists the targets of orders that this one replaced before this node had
	// received their outcome. Other nodes may have received it, so the list isn't sent.
	unresolved []string
	// otherEpochAt is the time at which the order was last received from another epoch of the
	// store.
	otherEpochAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[string]*held)} }

// Len returns the number of services with a roll-out.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the state of a service's last roll-out, and false if there is none.
func (t *Table) Get(now time.Time, service string) (Entry, bool) {
	h := t.entries[service]
	if h == nil {
		return Entry{}, false
	}
	return h.at(now), true
}

// Unresolved returns the target versions of replaced orders whose outcome this node hasn't
// received. It returns none once the present order is no longer Pending, since the store
// has settled them by then.
func (t *Table) Unresolved(service string) []string {
	h := t.entries[service]
	if h == nil || h.Phase != Pending {
		return nil
	}
	return h.unresolved
}

// at returns a copy of the entry with its age at now.
func (h *held) at(now time.Time) Entry {
	e := h.Entry
	e.Age = now.Sub(h.since)
	e.Rejected = slices.Clone(e.Rejected)
	return e
}

// All returns the entries of all services, in order of the service's name.
func (t *Table) All(now time.Time) []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, h := range t.entries {
		all = append(all, h.at(now))
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return all
}

// Same reports whether an entry is of the order that the table holds for its service.
func (t *Table) Same(now time.Time, e Entry) bool {
	h := t.entries[e.Order.Service]
	return h != nil && h.same(now, &e)
}

// Merge adds an entry of another node or the store and reports whether the table changed,
// apart from ages.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if !e.Valid() {
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
		next.reject(rejectedBy(&h.Entry)...)
		if h.Phase == Pending || h.Phase == Canary || h.Phase == Stopped {
			next.unresolved = append(h.unresolved, h.Order.Target)
		}
		t.entries[e.Order.Service] = next
		return true
	default:
		return h.reject(rejectedBy(&e)...)
	}
}

// Replaced adds the entry that the store held when the present order replaced it, and
// reports whether the table changed. That entry is final: a version that had not succeeded
// by then never will, so it is rejected.
func (t *Table) Replaced(e Entry) bool {
	h := t.entries[e.Order.Service]
	if h == nil || !e.Valid() || e.Order.RewriteOf(&h.Order) || !h.Order.After(&e.Order) {
		return false
	}
	changed := h.reject(e.Rejected...)
	if e.Phase != Succeeded {
		changed = h.reject(e.Order.Target) || changed
	}
	return changed
}

// merge adds another entry of the same order and reports whether h changed.
func (h *held) merge(now time.Time, e *Entry) bool {
	changed := h.reject(e.Rejected...)
	if e.Order.RewriteOf(&h.Order) {
		h.otherEpochAt = now
	}
	changed = h.Order.adoptRevision(&e.Order) || changed
	if since := now.Add(-e.Age); since.Before(h.since) {
		h.since = since
	}
	if e.Phase > h.Phase {
		h.Phase, h.Reason, h.StoredEpoch = e.Phase, e.Reason, e.StoredEpoch
		return true
	}
	if e.Phase == h.Phase && e.StoredEpoch > h.StoredEpoch {
		h.StoredEpoch = e.StoredEpoch
		changed = true
	}
	return changed
}

// newHeld returns a table entry for an entry received at now.
func newHeld(now time.Time, e Entry) *held {
	e.Rejected = slices.Clone(e.Rejected)
	return &held{Entry: e, since: now.Add(-e.Age)}
}

// rejectedBy returns the versions that are rejected according to an entry of an earlier
// order. Its own target is one of them only if the operators have been notified of that:
// otherwise it may have succeeded since, which this entry doesn't show.
func rejectedBy(e *Entry) []string {
	if e.Phase != Reverted {
		return e.Rejected
	}
	return append(slices.Clone(e.Rejected), e.Order.Target)
}

// reject adds rejected versions and reports whether one of them is new. The target of the
// present order is left out: it may get requests again.
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

// Valid reports whether an entry is well-formed, since a peer or the store may hold any content.
func (e *Entry) Valid() bool {
	o := &e.Order
	return validName(o.Service) && validName(o.Target) && model.ReadableText(e.Reason, maxReason) &&
		o.Revision > 0 && o.Duration > 0 && e.Phase <= Succeeded && e.Age >= 0 &&
		len(e.Rejected) <= maxRejected && !slices.ContainsFunc(e.Rejected, func(v string) bool { return !validName(v) })
}

// validName reports whether the name of a service or version is well-formed.
func validName(name string) bool { return name != "" && model.ReadableText(name, model.MaxNameLength) }

// Digest returns a hash of the table's entries without their ages; 0 for an empty table.
func (t *Table) Digest() uint64 {
	var sum uint64
	for service, h := range t.entries {
		sum += xxhash.Sum64String(fmt.Sprintf("%q %d %d %q", service, h.Order.Revision, h.Phase, h.Rejected)) + h.StoredEpoch
	}
	return sum
}
