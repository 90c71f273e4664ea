package suspect

import "time"

// View is an immutable copy of the part of a table that is needed to serve requests. A
// nil View is empty.
type View struct {
	quarantined map[Fingerprint]bool // false for suspects
}

// View returns a view of the table; nil if the table is empty.
func (t *Table) View() *View {
	if len(t.entries) == 0 {
		return nil
	}
	v := &View{quarantined: make(map[Fingerprint]bool, len(t.entries))}
	for f, e := range t.entries {
		if e.counted() > 0 {
			v.quarantined[f] = e.Quarantined()
		}
	}
	return v
}

// Quarantined reports whether a request is quarantined and so must not be sent.
func (v *View) Quarantined(f Fingerprint) bool { return v != nil && v.quarantined[f] }

// Suspected reports whether a request has evidence against it that its success
// would refute.
func (v *View) Suspected(f Fingerprint) bool {
	if v == nil {
		return false
	}
	_, is := v.quarantined[f]
	return is
}

// Len returns the number of suspected requests, quarantined ones included.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.quarantined)
}

// Quarantines returns the number of quarantined requests.
func (v *View) Quarantines() int {
	n := 0
	if v != nil {
		for _, is := range v.quarantined {
			if is {
				n++
			}
		}
	}
	return n
}

// Stored returns the entry of a quarantine of which only the time of the last crash is
// known: the entry gets Threshold crashes at that time.
func Stored(f Fingerprint, at time.Time) Entry {
	e := Entry{Fingerprint: f}
	for i := range Threshold {
		e.Evidence = append(e.Evidence, Evidence{Crash: Crash{ID: uint64(i) + 1, At: at.Unix()}})
	}
	return e
}

// LastCrash returns the time at which the last crash of the entry was detected.
func (e *Entry) LastCrash() time.Time { return time.Unix(e.last(), 0) }
