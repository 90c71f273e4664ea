package instance

import (
	"strconv"
	"strings"
)

// Start identifies one start of a backend server: its identifier, which it may have had
// before, and the time of the start. Starts of one identifier are ordered by that time.
type Start struct {
	// ID is the backend server's identifier.
	ID string
	// Born is the time of the start in milliseconds of Unix time, by the clock of the
	// host; 0 where the backend server doesn't tell.
	Born int64
}

// startSeparator stands between identifier and time in a key.
const startSeparator = "@"

// startBase is the base in which the time stands in a key.
const startBase = 36

// Key returns the start as one word, by which nodes and the store name it. Without a
// time it is the identifier, marked by the separator where it holds one itself.
func (s Start) Key() string {
	switch {
	case s.Born == 0 && strings.Contains(s.ID, startSeparator):
		return s.ID + startSeparator
	case s.Born == 0:
		return s.ID
	}
	return s.ID + startSeparator + strconv.FormatInt(s.Born, startBase)
}

// ParseStart reads what Key returns. Any other text is an identifier without a time.
func ParseStart(key string) Start {
	i := strings.LastIndex(key, startSeparator)
	if i < 0 {
		return Start{ID: key}
	}
	id, text := key[:i], key[i+len(startSeparator):]
	if text == "" {
		return Start{ID: id}
	}
	born, err := strconv.ParseInt(text, startBase, 64)
	if err != nil || born <= 0 {
		return Start{ID: key}
	}
	return Start{ID: id, Born: born}
}

// same reports whether both may be one start: one that tells no time is taken for any
// of its identifier, as nothing tells them apart.
func (s Start) same(o Start) bool {
	return s.ID == o.ID && (s.Born == o.Born || s.Born == 0 || o.Born == 0)
}

// before reports whether s is an earlier start of the same identifier.
func (s Start) before(o Start) bool {
	return s.ID == o.ID && s.Born != 0 && s.Born < o.Born
}
