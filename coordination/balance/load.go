package balance

import (
	"strconv"
	"strings"
)

// Load is the load that a gate reports of its backend server.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of slots.
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
}

// maxLoadField bounds each number of a report; a larger one is refused.
const maxLoadField = 1 << 20

// ParseLoad reads the value of the load header, "used/slots/queued". It
// returns a *LoadError for anything else.
func ParseLoad(s string) (Load, error) {
	used, rest, _ := strings.Cut(s, "/")
	slots, queued, _ := strings.Cut(rest, "/")
	l := Load{Used: parseField(used), Slots: parseField(slots), Queued: parseField(queued)}
	if l.Used < 0 || l.Slots < 1 || l.Queued < 0 {
		return Load{}, &LoadError{Found: s}
	}
	return l, nil
}

func parseField(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n > maxLoadField {
		return -1
	}
	return n
}

// String returns the value of the load header.
func (l Load) String() string {
	return strconv.Itoa(l.Used) + "/" + strconv.Itoa(l.Slots) + "/" + strconv.Itoa(l.Queued)
}
