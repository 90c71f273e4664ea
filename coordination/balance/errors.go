package balance

import (
	"strconv"
	"time"
)

// NoEndpointError reports that no backend server is available for a request. The
// request was not run.
type NoEndpointError struct {
	// Service is the service's name.
	Service string
	// Candidates is the number of serving records that the picker chose from.
	Candidates int
	// Tried is the number of servers that the request tried before.
	Tried int
	// HeldFor is the time until one of the others may accept a request again, see
	// Result.Hold; 0 if none of them is held.
	HeldFor time.Duration
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return "service " + e.Service + ": no endpoint among " + strconv.Itoa(e.Candidates) +
		" candidates, " + strconv.Itoa(e.Tried) + " tried"
}

// LoadError reports a malformed load header.
type LoadError struct {
	// Found is the value of the header.
	Found string
}

// Error implements error.
func (e *LoadError) Error() string {
	return "load " + strconv.Quote(e.Found) + ": want used/slots/queued"
}
