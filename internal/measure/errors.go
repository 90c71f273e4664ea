package measure

import (
	"strconv"
	"time"
)

// TimeoutError reports a fleet that did not get where it should in time.
type TimeoutError struct {
	// What was waited for.
	What string
	// After is how long it was waited for.
	After time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string { return "not within " + e.After.String() + ": " + e.What }

// StatusError reports an answer without success.
type StatusError struct {
	// URL was read.
	URL string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return e.URL + ": status " + strconv.Itoa(e.Status) }

// FormatError reports text that can't be read.
type FormatError struct {
	// What should have been read.
	What string
	// Text is what was found.
	Text string
}

// Error implements error.
func (e *FormatError) Error() string { return "no " + e.What + ": " + strconv.Quote(e.Text) }

// MarkerError reports a page that lacks the markers of a table.
type MarkerError struct {
	// Page is the file.
	Page string
	// Table is the name in the markers.
	Table string
}

// Error implements error.
func (e *MarkerError) Error() string { return e.Page + " lacks the markers of " + e.Table }
