// Package dialect defines the interface through which a node reads and writes
// the headers that a site's callers and backend servers use, so that the node
// does not depend on the names of these headers.
package dialect

import "time"

// Header holds the headers of a message, under canonical names.
type Header = map[string][]string

// Dialect reads and writes a site's own headers. Implementations are safe for
// concurrent use.
type Dialect interface {
	// RequestID returns the identifier that the caller has set on its request;
	// empty if there is none.
	RequestID(h Header) string
	// Wait returns how long the caller waits for the response. given is false if
	// the request doesn't state it. An error is typed and means that the request
	// is malformed.
	Wait(h Header) (wait time.Duration, given bool, err error)
	// Key returns the caller's key; empty unless the request carries exactly one.
	Key(h Header) string
	// StripKey removes the key, and whatever the caller has sent in the header that
	// carries the organisation to backend servers.
	StripKey(h Header)
	// Mark sets the headers of a request to a backend server. It replaces
	// whatever the caller has sent in them.
	Mark(h Header, m Marks)
	// Foreign reports whether a response belongs to another request than the given
	// one.
	Foreign(request, response Header) bool
	// Load returns the load that a backend server reports in a response. reported is false
	// if the response carries none. An error is typed and doesn't affect the rest of the
	// response, which remains valid.
	Load(response Header) (l Load, reported bool, err error)
	// Limit returns the rate limit that a backend server states in a response, in requests
	// per second from all hosts together; 0 accepts none. stated is false if the response
	// states no limit. An error is typed and means that the statement is to be ignored.
	Limit(response Header) (perSecond float64, stated bool, err error)
	// Leaving reports whether a backend server states in a response that it is shutting
	// down. An error is typed and means that the statement is to be ignored.
	Leaving(response Header) (bool, error)
	// Signed reports whether a response carries the signature of a backend server.
	Signed(response Header) bool
	// Judge derives the request's Verdict from a backend server's response.
	Judge(status int, response Header) Verdict
}

// Marks are the values that a node sets in the headers of a request to a backend
// server.
type Marks struct {
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Instance is the instance of the backend server that the request is for.
	Instance string
	// CallerService is the service of the host that the request comes from; empty
	// if it isn't known.
	CallerService string
	// Organisation is the organisation that holds the caller's key; empty for none.
	Organisation string
}

// Load is the load that a backend server reports.
type Load struct {
	// Running and Waiting are the numbers of running and queued requests. Slots is how
	// many may run at the same time.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work currently takes longer than usual on the
	// server's host; 0 if it isn't reported.
	Slowdown float64
}

// Verdict is the conclusion from a response about its request.
type Verdict uint8

// The verdicts.
const (
	// Ran means that the response is the backend server's own, which includes
	// failures.
	Ran Verdict = iota
	// Refused means that the backend server guarantees that it did not and will
	// not run the request.
	Refused
	// Misdirected means that another backend server than the intended one has
	// refused the request.
	Misdirected
	// Broken means that no backend server would send such a response. The request
	// may have run.
	Broken
)
