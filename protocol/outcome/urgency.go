package outcome

import (
	"strconv"
	"strings"
	"time"
)

// Urgency is what a gate's queue orders requests by.
type Urgency struct {
	// Left is the time until the response is due, by its target latency or the
	// request's deadline, whichever is earlier; 0 if it is overdue.
	Left time.Duration
	// Target is the latency target of requests of this class.
	Target time.Duration
	// Rank is the request's importance; 0 is the most important.
	Rank int
}

// UrgencyError reports an urgency header that can't be parsed.
type UrgencyError struct {
	// Found is the header's value.
	Found string
}

// Error implements error.
func (e *UrgencyError) Error() string {
	return "urgency " + strconv.Quote(e.Found) + ": want left/target/rank"
}

// String returns the value of HeaderUrgency, "left/target/rank" with times in
// milliseconds.
func (u Urgency) String() string {
	var b [32]byte
	text := strconv.AppendInt(b[:0], u.Left.Milliseconds(), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, u.Target.Milliseconds(), 10)
	text = append(text, '/')
	return string(strconv.AppendInt(text, int64(u.Rank), 10))
}

// ParseUrgency parses the value of HeaderUrgency. The error is an *UrgencyError.
func ParseUrgency(s string) (Urgency, error) {
	left, rest, _ := strings.Cut(s, "/")
	target, rank, _ := strings.Cut(rest, "/")
	l, errLeft := strconv.ParseUint(left, 10, 31)
	t, errTarget := strconv.ParseUint(target, 10, 31)
	r, errRank := strconv.ParseUint(rank, 10, 15)
	if errLeft != nil || errTarget != nil || errRank != nil {
		return Urgency{}, &UrgencyError{Found: s}
	}
	return Urgency{
		Left:   time.Duration(l) * time.Millisecond,
		Target: time.Duration(t) * time.Millisecond,
		Rank:   int(r),
	}, nil
}
