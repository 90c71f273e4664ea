package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Threshold is the number of backend servers that have to end under a request before
// it is quarantined. One that ends has up to as many requests under way as it has
// slots, all of them suspects; the next two tell the one that is to blame from those
// that were there by chance. The users' platform allows three as well.
const Threshold = 3

const (
	// Memory is how long a crash is remembered that has not led to a quarantine.
	Memory = 10 * time.Minute
	// Quarantine is how long a quarantined request isn't sent, from its last crash
	// on: a day for the fault to be mended. Each end of it may cost backend servers
	// again.
	Quarantine = 24 * time.Hour
	// MaxEntries bounds the requests in a table: some 50 KB. A crash makes a suspect
	// of each request under way, so 70 backend servers with 7 slots that end at once
	// fit.
	MaxEntries = 512
	// maxCrashes bounds the crashes of one request that are told apart.
	maxCrashes = 2 * Threshold
)

// Crash is the end of one start of a backend server that had not said goodbye.
type Crash struct {
	// ID tells it from all others.
	ID uint64 `cbor:"1,keyasint"`
	// At is when it was noticed, in seconds of Unix time.
	At int64 `cbor:"2,keyasint"`
}

// Evidence is a crash under which a request was running.
type Evidence struct {
	Crash Crash `cbor:"1,keyasint"`
	// Refuted says that the request has succeeded since: it was there by chance.
	Refuted bool `cbor:"2,keyasint,omitempty"`
}

// Entry is what is known of one suspected request.
type Entry struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Evidence    []Evidence  `cbor:"2,keyasint"`
}

// Quarantined reports whether the evidence is enough.
func (e *Entry) Quarantined() bool { return e.counted() >= Threshold }

// Near reports whether one more crash would quarantine the request, or has.
func (e *Entry) Near() bool { return e.counted() >= Threshold-1 }

// counted returns the number of crashes that count against the request.
func (e *Entry) counted() int {
	n := 0
	for i := range e.Evidence {
		if !e.Evidence[i].Refuted {
			n++
		}
	}
	return n
}

// last returns when the last crash was.
func (e *Entry) last() int64 {
	var at int64
	for i := range e.Evidence {
		at = max(at, e.Evidence[i].Crash.At)
	}
	return at
}

// outdated reports whether the entry is to be forgotten.
func (e *Entry) outdated(now time.Time) bool {
	kept := Memory
	if e.Quarantined() {
		kept = Quarantine
	}
	return now.Sub(time.Unix(e.last(), 0)) > kept
}

// add merges one piece of evidence and reports whether it is news. Of too many the
// newest are kept, in order, so that tables that have heard the same are alike.
func (e *Entry) add(v Evidence) bool {
	i := slices.IndexFunc(e.Evidence, func(o Evidence) bool { return o.Crash.ID == v.Crash.ID })
	if i >= 0 {
		news := v.Refuted && !e.Evidence[i].Refuted
		e.Evidence[i].Refuted = e.Evidence[i].Refuted || v.Refuted
		return news
	}
	at, _ := slices.BinarySearchFunc(e.Evidence, v, newestFirst)
	if at >= maxCrashes {
		return false
	}
	e.Evidence = slices.Insert(e.Evidence, at, v)
	e.Evidence = e.Evidence[:min(len(e.Evidence), maxCrashes)]
	return true
}

// newestFirst orders evidence by the time of its crash.
func newestFirst(a, b Evidence) int {
	if c := cmp.Compare(b.Crash.At, a.Crash.At); c != 0 {
		return c
	}
	return cmp.Compare(a.Crash.ID, b.Crash.ID)
}

// Table holds the suspected requests. It is not safe for concurrent use: one
// goroutine owns it and publishes a View for the path of a request.
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

// clockLead is how far ahead of the own clock a crash may have been noticed: clocks
// of hosts differ, and step by seconds.
const clockLead = time.Minute

// Merge takes what another table holds of a request, and reports whether any of it
// is news.
func (t *Table) Merge(now time.Time, e Entry) bool {
	if e.Fingerprint == 0 {
		return false
	}
	news := false
	for _, v := range e.Evidence {
		v.Crash.At = min(v.Crash.At, now.Add(clockLead).Unix())
		if now.Sub(time.Unix(v.Crash.At, 0)) > Quarantine {
			continue
		}
		held := t.entries[e.Fingerprint]
		if held == nil {
			held = t.make(e.Fingerprint)
		}
		news = held.add(v) || news
	}
	if held := t.entries[e.Fingerprint]; held != nil && held.outdated(now) {
		delete(t.entries, e.Fingerprint)
		return false
	}
	return news
}

// make adds an entry, in the place of the oldest where the table is full.
func (t *Table) make(f Fingerprint) *Entry {
	if len(t.entries) >= MaxEntries {
		delete(t.entries, t.oldest())
	}
	e := &Entry{Fingerprint: f}
	t.entries[f] = e
	return e
}

// oldest returns the entry to give up first: a suspect before a quarantined one,
// then the one with the oldest crash.
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

// Refute notes that a request has succeeded: no crash so far was its fault. It
// reports whether that is news.
func (t *Table) Refute(f Fingerprint) bool {
	e := t.entries[f]
	if e == nil {
		return false
	}
	news := false
	for i := range e.Evidence {
		news = news || !e.Evidence[i].Refuted
		e.Evidence[i].Refuted = true
	}
	return news
}

// Expire forgets what is outdated and reports whether there was any.
func (t *Table) Expire(now time.Time) bool {
	before := len(t.entries)
	for f, e := range t.entries {
		if e.outdated(now) {
			delete(t.entries, f)
		}
	}
	return len(t.entries) < before
}

// Digest returns a hash of the crashes in the table; 0 for an empty one. What has
// been refuted takes no part: it matters only where it is near the threshold, and
// is then told at once.
func (t *Table) Digest() uint64 {
	var sum uint64
	for f, e := range t.entries {
		for i := range e.Evidence {
			sum ^= mix(uint64(f) ^ mix(e.Evidence[i].Crash.ID))
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
