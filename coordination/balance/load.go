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
	// Slowdown is how many times as long as usual work takes on the server's host at this
	// moment; 0 as usual, or not known.
	Slowdown float64
}

// maxLoadField bounds each number of a report; a larger one is refused.
const maxLoadField = 1 << 20

// usualPercent is the figure of a host on which work takes as long as usual.
const usualPercent = 100

// ParseLoad reads the value of the load header, "used/slots/queued",
// "used/slots/queued/work" with a work above 0 in microseconds, or
// "used/slots/queued/work/slowdown" with a slowdown above 0 in percent and any work. It
// returns a *LoadError for anything else.
func ParseLoad(s string) (Load, error) {
	used, rest, _ := strings.Cut(s, "/")
	slots, rest, _ := strings.Cut(rest, "/")
	queued, rest, timed := strings.Cut(rest, "/")
	work, slow, slowed := strings.Cut(rest, "/")
	l := Load{Used: parseField(used), Slots: parseField(slots), Queued: parseField(queued)}
	if l.Used < 0 || l.Slots < 1 || l.Queued < 0 {
		return Load{}, &LoadError{Found: s}
	}
	if timed {
		micros, err := strconv.ParseUint(work, 10, 32)
		if err != nil || micros == 0 && !slowed {
			return Load{}, &LoadError{Found: s}
		}
		l.Work = time.Duration(micros) * time.Microsecond
	}
	if slowed {
		percent := parseField(slow)
		if percent < 1 {
			return Load{}, &LoadError{Found: s}
		}
		l.Slowdown = float64(percent) / usualPercent
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

// String returns the value of the load header. The usual slowdown is left out: the form is
// then the one that older nodes read.
func (l Load) String() string {
	var b [64]byte
	text := strconv.AppendInt(b[:0], int64(l.Used), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Slots), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Queued), 10)
	percent := int64(l.Slowdown*usualPercent + 0.5)
	slowed := percent > 0 && percent != usualPercent
	if l.Work > 0 || slowed {
		text = append(text, '/')
		text = strconv.AppendInt(text, l.Work.Microseconds(), 10)
	}
	if slowed {
		text = append(text, '/')
		text = strconv.AppendInt(text, percent, 10)
	}
	return string(text)
}
