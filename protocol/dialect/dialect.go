// Package dialect defines what a node needs to know of the headers by which
// callers and backend servers of a site speak, whatever they are called there.
package dialect

import "time"

// Header holds the headers of a message, under canonical names.
type Header = map[string][]string

// Dialect reads and writes a site's own headers. Implementations are safe for
// concurrent use.
type Dialect interface {
	// RequestID returns the identifier that the caller gave its request; empty
	// without one.
	RequestID(h Header) string
	// Wait returns how long the caller waits for its answer. given is false
	// when it doesn't say. The error is typed; the request is malformed.
	Wait(h Header) (wait time.Duration, given bool, err error)
	// Key returns the key that the caller shows; empty without exactly one.
	Key(h Header) string
	// StripKey removes the key, and whatever the caller has sent under the name by
	// which backend servers are told the organisation.
	StripKey(h Header)
	// Mark sets the headers of a request to a backend server, whatever the
	// caller has sent under their names.
	Mark(h Header, m Marks)
	// Foreign reports whether a response belongs to another request.
	Foreign(request, response Header) bool
	// Load reads the load that a backend server tells with a response. told is false where
	// it tells none. The error is typed; the response is sound whatever its load says.
	Load(response Header) (l Load, told bool, err error)
	// Judge reads what a backend server's response says of the request.
	Judge(status int, response Header) Verdict
}

// Marks are what a backend server is told about a request.
type Marks struct {
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Instance is the start of the backend server that is meant.
	Instance string
	// CallerService is the service of the host where the request began; empty
	// when that isn't known.
	CallerService string
	// Organisation is the organisation that holds the caller's key; empty for none.
	Organisation string
}

// Load is what a backend server tells of its load.
type Load struct {
	// Running and Waiting are the requests that run and that wait, and Slots is how many
	// may run at one time.
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the server's host at this
	// moment; 0 where that isn't told.
	Slowdown float64
}

// Verdict says what a response means for the request.
type Verdict uint8

// The verdicts.
const (
	// Ran is the backend server's own answer, a failure included.
	Ran Verdict = iota
	// Refused is a promise that the backend server did not and will not run
	// the request.
	Refused
	// Misdirected is a refusal by another backend server than the one meant.
	Misdirected
	// Broken is a response that no backend server gives: the request may have
	// run.
	Broken
)
