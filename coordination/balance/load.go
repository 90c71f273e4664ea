package balance

import (
	"strconv"
	"strings"
	"time"
)

// Load is the load that a gate reports of its backend server.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of slots.
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Work is the mean time that a request holds a slot; 0 when not known.
	Work time.Duration
}

// maxLoadField bounds each number of a report; a larger one is refused.
const maxLoadField = 1 << 20

// ParseLoad reads the value of the load header, "used/slots/queued" or
// "used/slots/queued/work" with a work above 0 in microseconds. It returns a *LoadError for
// anything else.
func ParseLoad(s string) (Load, error) {
	used, rest, _ := strings.Cut(s, "/")
	slots, rest, _ := strings.Cut(rest, "/")
	queued, work, timed := strings.Cut(rest, "/")
	l := Load{Used: parseField(used), Slots: parseField(slots), Queued: parseField(queued)}
	if l.Used < 0 || l.Slots < 1 || l.Queued < 0 {
		return Load{}, &LoadError{Found: s}
	}
	if timed {
		micros, err := strconv.ParseUint(work, 10, 32)
		if err != nil || micros == 0 {
			return Load{}, &LoadError{Found: s}
		}
		l.Work = time.Duration(micros) * time.Microsecond
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
	var b [48]byte
	text := strconv.AppendInt(b[:0], int64(l.Used), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Slots), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Queued), 10)
	if l.Work > 0 {
		text = append(text, '/')
		text = strconv.AppendInt(text, l.Work.Microseconds(), 10)
	}
	return string(text)
}
