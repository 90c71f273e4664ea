package instance

import (
	"strconv"
	"strings"
)

// Start identifies an instance: the backend server's identifier, which earlier instances
// may have used too, and the start time, which orders the instances of one identifier.
type Start struct {
	// ID is the backend server's identifier.
	ID string
	// Born is the start time in milliseconds of Unix time by the clock of the host; 0 if
	// the backend server doesn't report it.
	Born int64
}

// startSeparator separates the identifier from the start time in a key.
const startSeparator = "@"

// startBase is the number base of the start time in a key.
const startBase = 36

// Key returns the instance's name in messages between nodes and in the store: identifier,
// separator and start time. Without a start time it is the identifier, with a separator
// appended if it contains one itself.
func (s Start) Key() string {
	switch {
	case s.Born == 0 && strings.Contains(s.ID, startSeparator):
		return s.ID + startSeparator
	case s.Born == 0:
		return s.ID
	}
	return s.ID + startSeparator + strconv.FormatInt(s.Born, startBase)
}

// ParseStart parses the result of Key. Any other text is an identifier without a start
// time.
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

// same reports whether s and o may be the same instance. A Start without a time matches
// every one with its identifier, since they can't be distinguished.
func (s Start) same(o Start) bool {
	return s.ID == o.ID && (s.Born == o.Born || s.Born == 0 || o.Born == 0)
}

// before reports whether s is an earlier instance with the identifier of o.
func (s Start) before(o Start) bool {
	return s.ID == o.ID && s.Born != 0 && s.Born < o.Born
}
