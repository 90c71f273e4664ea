package entry

import (
	"strconv"
	"strings"
)

// Load is a gate's load, as outcome.HeaderLoad carries it.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of slots; 0 means that no load was reported.
	Slots int
	// Queued is the number of requests that wait.
	Queued int
}

// ParseLoad reads "used/slots/queued". It returns false, and no load, for
// anything else.
func ParseLoad(s string) (Load, bool) {
	used, rest, ok := strings.Cut(s, "/")
	if !ok {
		return Load{}, false
	}
	slots, queued, ok := strings.Cut(rest, "/")
	if !ok {
		return Load{}, false
	}
	var l Load
	for _, f := range []struct {
		to   *int
		text string
	}{{&l.Used, used}, {&l.Slots, slots}, {&l.Queued, queued}} {
		v, err := strconv.ParseUint(f.text, 10, 31)
		if err != nil {
			return Load{}, false
		}
		*f.to = int(v)
	}
	return l, l.Slots > 0
}
