package balance

import (
	"strconv"
	"strings"
	"time"
)

// Load is the load of a backend server as its gate reports it with each response.
type Load struct {
	// Used is the number of slots in use.
	Used int
	// Slots is the number of requests that the backend server may run at a time.
	Slots int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// MeanServiceTime is the mean time for which a request holds a slot; 0 if not known.
	MeanServiceTime time.Duration
	// Slowdown is the factor by which work currently takes longer than usual on the
	// server's host; 0 if it takes as long as usual or the factor is not known.
	Slowdown float64
}

// maxLoadField bounds the numbers of a report except the mean service time; a report with a
// larger one is refused.
const maxLoadField = 1 << 20

// normalPercent is the reported slowdown, in percent, of a host on which work takes as long
// as usual.
const normalPercent = 100

// ParseLoad parses the value of the load header: "used/slots/queued",
// "used/slots/queued/work" or "used/slots/queued/work/slowdown". The work is the mean service
// time in microseconds, and above 0 unless a slowdown follows. The slowdown is in percent and
// above 0. ParseLoad returns a *LoadError for anything else.
func ParseLoad(s string) (Load, error) {
	used, rest, _ := strings.Cut(s, "/")
	slots, rest, _ := strings.Cut(rest, "/")
	queued, rest, hasServiceTime := strings.Cut(rest, "/")
	serviceTime, slowdown, hasSlowdown := strings.Cut(rest, "/")
	l := Load{Used: parseField(used), Slots: parseField(slots), Queued: parseField(queued)}
	if l.Used < 0 || l.Slots < 1 || l.Queued < 0 {
		return Load{}, &LoadError{Found: s}
	}
	if hasServiceTime {
		micros, err := strconv.ParseUint(serviceTime, 10, 32)
		if err != nil || micros == 0 && !hasSlowdown {
			return Load{}, &LoadError{Found: s}
		}
		l.MeanServiceTime = time.Duration(micros) * time.Microsecond
	}
	if hasSlowdown {
		percent := parseField(slowdown)
		if percent < 1 {
			return Load{}, &LoadError{Found: s}
		}
		l.Slowdown = float64(percent) / normalPercent
	}
	return l, nil
}

// parseField returns a number of a report; -1 if it is malformed or too large.
func parseField(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n > maxLoadField {
		return -1
	}
	return n
}

// String returns the value of the load header. A slowdown of 0 or 100 percent is omitted,
// since older nodes can't parse the form with a slowdown.
func (l Load) String() string {
	var b [64]byte
	text := strconv.AppendInt(b[:0], int64(l.Used), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Slots), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(l.Queued), 10)
	percent := int64(l.Slowdown*normalPercent + 0.5)
	hasSlowdown := percent > 0 && percent != normalPercent
	if l.MeanServiceTime > 0 || hasSlowdown {
		text = append(text, '/')
		text = strconv.AppendInt(text, l.MeanServiceTime.Microseconds(), 10)
	}
	if hasSlowdown {
		text = append(text, '/')
		text = strconv.AppendInt(text, percent, 10)
	}
	return string(text)
}
