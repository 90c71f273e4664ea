package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Threshold is the number of crashes with a request in flight after which that request is
// quarantined. A backend server that crashes has up to as many requests in flight as it
// has slots, and all of them become suspects; the next two crashes distinguish the cause
// from requests that were in flight by chance. The users' platform allows three as well.
const Threshold = 3

const (
	// Memory is the retention time of a suspect after its last crash, unless it is or
	// was quarantined.
	Memory = 10 * time.Minute
	// Quarantine is the time from its last crash for which a quarantined request is sent
	// in trials only: a day, so that the fault can be fixed. The request may crash backend
	// servers again each time that a quarantine ends. A refutation is retained as long as
	// the quarantine that it ends, of which a copy may return.
	Quarantine = 24 * time.Hour
	// MaxEntries limits the number of requests in a table, to some 50 KB. A crash makes
	// each request in flight a suspect, so simultaneous crashes of 70 backend servers
	// with 7 slots fit.
	MaxEntries = 512
	// maxCrashes limits the number of crashes recorded for one request.
	maxCrashes = 2 * Threshold
)

// Crash is the end of a backend server's instance without a goodbye.
type Crash struct {
	// ID identifies the crash.
	ID uint64 `cbor:"1,keyasint"`
	// At is the time at which it was detected, in seconds of Unix time.
	At int64 `cbor:"2,keyasint"`
}

// Evidence is a crash during which a request was in flight.
type Evidence struct {
	Crash Crash `cbor:"1,keyasint"`
	// Refuted means that the request has succeeded since, so it didn't cause the crash.
	Refuted bool `cbor:"2,keyasint,omitempty"`
}

// Entry holds the evidence against one suspected request.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Evidence    []Evidence  `cbor:"2,keyasint"`
}

// Quarantined reports whether enough crashes count against the request.
func (e *Entry) Quarantined() bool { return e.counted() >= Threshold }

// NearThreshold reports whether the request is quarantined or would be after one more
// crash.
func (e *Entry) NearThreshold() bool { return e.counted() >= Threshold-1 }

// counted returns the number of crashes that count against the request: those not refuted.
func (e *Entry) counted() int {
	n := 0
	for i := range e.Evidence {
		if !e.Evidence[i].Refuted {
			n++
		}
	}
	return n
}

// last returns the time of the last crash in seconds of Unix time.
func (e *Entry) last() int64 {
	var at int64
	for i := range e.Evidence {
		at = max(at, e.Evidence[i].Crash.At)
	}
	return at
}

// outdated reports whether the retention time of the entry is over.
func (e *Entry) outdated(now time.Time) bool {
	retention := Memory
	if len(e.Evidence) >= Threshold {
		retention = Quarantine
	}
	return now.Sub(time.Unix(e.last(), 0)) > retention
}

// Absorb merges the evidence of another entry for the same request.
func (e *Entry) Absorb(other Entry) {
	for _, v := range other.Evidence {
		e.Add(v)
	}
}

// Add merges one piece of evidence and reports whether the entry changed. It keeps the
// newest maxCrashes in order, so that tables that have merged the same evidence are equal.
func (e *Entry) Add(v Evidence) bool {
	i := slices.IndexFunc(e.Evidence, func(o Evidence) bool { return o.Crash.ID == v.Crash.ID })
	if i >= 0 {
		changed := v.Refuted && !e.Evidence[i].Refuted
		e.Evidence[i].Refuted = e.Evidence[i].Refuted || v.Refuted
		return changed
	}
	at, _ := slices.BinarySearchFunc(e.Evidence, v, newestFirst)
	if at >= maxCrashes {
		return false
	}
	e.Evidence = slices.Insert(e.Evidence, at, v)
	e.Evidence = e.Evidence[:min(len(e.Evidence), maxCrashes)]
	return true
}

// newestFirst orders evidence by the time of its crash, the newest first, then by ID.
func newestFirst(a, b Evidence) int {
	if c := cmp.Compare(b.Crash.At, a.Crash.At); c != 0 {
		return c
	}
	return cmp.Compare(a.Crash.ID, b.Crash.ID)
}

// Table holds the suspected requests. It is not safe for concurrent use: one goroutine
// owns it and publishes a View for the goroutines that serve requests.
type Table struct {
	entries map[Fingerprint]*Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Fingerprint]*Entry)} }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Get returns a copy of the entry of a request.
func (t *Table) Get(f Fingerprint) (Entry, bool) {
	e := t.entries[f]
	if e == nil {
		return Entry{}, false
	}
	return Entry{Fingerprint: f, Evidence: slices.Clone(e.Evidence)}, true
}

// All returns copies of all entries, in order of fingerprint.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for f := range t.entries {
		e, _ := t.Get(f)
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// maxClockLead is the maximum by which the time of a crash may be ahead of the local clock:
// the clocks of hosts differ and step by seconds.
const maxClockLead = time.Minute

// Merge adds the evidence of another table's entry and reports whether any of it is new.
// It ignores crashes older than Quarantine. If the merged entry is outdated, Merge removes
// it and returns false.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if e.Fingerprint == 0 {
		return false
	}
	changed := false
	for _, v := range e.Evidence {
		v.Crash.At = min(v.Crash.At, now.Add(maxClockLead).Unix())
		if now.Sub(time.Unix(v.Crash.At, 0)) > Quarantine {
			continue
		}
		held := t.entries[e.Fingerprint]
		if held == nil {
			held = t.insert(e.Fingerprint)
		}
		changed = held.Add(v) || changed
	}
	if held := t.entries[e.Fingerprint]; held != nil && held.outdated(now) {
		delete(t.entries, e.Fingerprint)
		return false
	}
	return changed
}

// insert adds an entry; if the table is full, it evicts the one that oldest returns.
func (t *Table) insert(f Fingerprint) *Entry {
	if len(t.entries) >= MaxEntries {
		delete(t.entries, t.oldest())
	}
	e := &Entry{Fingerprint: f}
	t.entries[f] = e
	return e
}

// oldest returns the fingerprint of the entry to evict first: suspects before quarantined
// requests, then the one whose last crash is the oldest.
func (t *Table) oldest() Fingerprint {
	all := t.All()
	e := slices.MinFunc(all, func(a, b Entry) int {
		if a.Quarantined() != b.Quarantined() {
			if b.Quarantined() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.last(), b.last())
	})
	return e.Fingerprint
}

// Refute records that a request has succeeded, so that it caused none of the crashes so
// far. It reports whether the table changed.
func (t *Table) Refute(f Fingerprint) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	changed := false
	for i := range e.Evidence {
		changed = changed || !e.Evidence[i].Refuted
		e.Evidence[i].Refuted = true
	}
	return changed
}

// Expire removes the outdated entries and reports whether there were any.
func (t *Table) Expire(now time.Time) bool {
	before := len(t.entries)
	for f, e := range t.entries {
		if e.outdated(now) {
			delete(t.entries, f)
		}
	}
	return len(t.entries) < before
}

// Digest returns a hash of the evidence in the table; 0 for an empty one. It excludes
// refutations far from the threshold, which each node finds by itself.
func (t *Table) Digest() uint64 {
	var sum uint64
	for f, e := range t.entries {
		for i := range e.Evidence {
			v := &e.Evidence[i]
			sum ^= mix(uint64(f) ^ mix(v.Crash.ID))
			if v.Refuted && len(e.Evidence) >= Threshold-1 {
				sum ^= mix(^uint64(f) ^ mix(v.Crash.ID))
			}
		}
	}
	return sum
}

// mix spreads the bits of v; the constants are those of SplitMix64.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
