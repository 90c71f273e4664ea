package route

import "time"

// CallerLimits limits the requests and connections of callers. 0 means no limit.
type CallerLimits struct {
	// HeaderBytes is the maximum size of a request's head in bytes.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body in bytes.
	BodyBytes int64
	// HeaderTimeout is the maximum time until a request's head has arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection may be idle.
	IdleTimeout time.Duration
}

// Service is the configuration of a service.
type Service struct {
	// Name is the service's name.
	Name string
	// Connections is the number of connections that a backend server accepts;
	// 0 if unknown.
	Connections int
	// HealthPath is the path of a backend server's health checks; empty if unknown.
	HealthPath string
	// ColdPerSecond is the number of requests per second that a backend server can handle
	// while it is cold after a start; 0 means no limit.
	ColdPerSecond float64
	// ColdTime is the time for which a backend server is cold after a start.
	ColdTime time.Duration
}

// Config is the content from which NewTable builds a Table.
type Config struct {
	Version  Version
	Limits   CallerLimits
	Routes   []Route
	Services []Service
	// Faults are the errors of parts that were omitted or interpreted more strictly than
	// written.
	Faults []error
	// Organisations are the organisations whose callers send keys. If it is nil, no keys
	// are required; if it is empty but not nil, keys are required and none is valid.
	Organisations []Organisation
}
