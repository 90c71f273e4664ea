package model

import (
	"encoding/json"
	"strings"
	"time"
)

// Duration is a time.Duration that JSON documents give as a string with a unit, such
// as "250ms" or "8s".
type Duration time.Duration

// unitEnds are the last letters of all units. A duration must contain one of
// them: time.ParseDuration by itself accepts a zero without a unit.
const unitEnds = "smh"

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the notation of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes d as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads a string with a unit. It returns a *DurationError for
// anything else; a bare number has no unit and is rejected.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return &DurationError{Found: string(b)}
	}
	v, err := time.ParseDuration(s)
	if err != nil || !strings.ContainsAny(s, unitEnds) {
		return &DurationError{Found: s}
	}
	*d = Duration(v)
	return nil
}

// DurationError reports a duration that has no unit or can't be parsed.
type DurationError struct {
	// Found is the text found in the document.
	Found string
}

// Error implements error.
func (e *DurationError) Error() string {
	return "duration " + e.Found + ": want " + e.Allowed()
}

// Allowed describes the accepted values; it implements strictjson.Explainer.
func (e *DurationError) Allowed() string { return `a string with a unit, such as "250ms"` }
