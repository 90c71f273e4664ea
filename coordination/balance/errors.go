package balance

import "strconv"

// NoEndpointError reports that no backend server may take a request. The
// request was not run.
type NoEndpointError struct {
	// Service is the service's name.
	Service string
	// Candidates is the number of serving records there were.
	Candidates int
	// Tried is the number of servers that the request had tried before.
	Tried int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return "service " + e.Service + ": no endpoint among " + strconv.Itoa(e.Candidates) +
		" candidates, " + strconv.Itoa(e.Tried) + " tried"
}

// LoadError reports a load header that can't be read.
type LoadError struct {
	// Found is the header's value.
	Found string
}

// Error implements error.
func (e *LoadError) Error() string {
	return "load " + strconv.Quote(e.Found) + ": want used/slots/queued"
}
