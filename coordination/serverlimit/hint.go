package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Hint is what an entry node knows of the limit of a backend server. It accompanies each
// request to that server, so that a gate that has just started knows the limit before it
// sends the first one.
type Hint struct {
	// PerSecond is the limit in requests per second.
	PerSecond float64
	// Age is the time since a response confirmed it.
	Age time.Duration
}

// HintError reports a hint that can't be parsed.
type HintError struct {
	// Found is the text.
	Found string
}

// Error implements error.
func (e *HintError) Error() string {
	return "limit hint " + strconv.Quote(e.Found) + ": want limit/age"
}

// String returns the hint as "limit/age": requests per second, and milliseconds.
func (h Hint) String() string {
	return strconv.FormatFloat(h.PerSecond, 'g', -1, 64) + "/" + strconv.FormatInt(h.Age.Milliseconds(), 10)
}

// ParseHint parses the result of String. The error is a *HintError.
func ParseHint(text string) (Hint, error) {
	limit, age, _ := strings.Cut(text, "/")
	perSecond, err := strconv.ParseFloat(limit, 64)
	millis, ageErr := strconv.ParseUint(age, 10, 31)
	if err != nil || ageErr != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Hint{}, &HintError{Found: text}
	}
	return Hint{PerSecond: perSecond, Age: time.Duration(millis) * time.Millisecond}, nil
}
