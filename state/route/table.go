// Package route holds one version of the routes that callers' requests follow:
// which host and path lead to which service, how often a request may be sent
// and how long it may take. A Table is immutable; a node swaps in a new one as
// a whole.
package route

import (
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Version numbers the configurations. A higher one replaces a lower one.
type Version uint64

// Route is where requests to one host and path prefix go.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the host name that callers ask for.
	Host string
	// Prefix begins the path. It begins and ends with a slash.
	Prefix string
	// Kind says whether a request may run more than once.
	Kind model.ClassKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which a response is worth most to its caller.
	Target time.Duration
	// Priority ranks requests that compete for a slot; 0 is the most important.
	Priority int
	// Anonymous says that callers need no key.
	Anonymous bool
	// Attempts is the number of backend servers that one request may reach.
	Attempts int
	// Splits are the services that share the requests. There is at least one.
	Splits []Split
	// Regions are the regions in which requests may be served; empty allows all.
	Regions []model.Region
	// Fault is why the route can't be used; nil for a usable one. Requests of a faulty route
	// are refused and don't fall through to a route with a shorter prefix.
	Fault error
	// weight is the sum of the weights of Splits.
	weight int
}

// Split is a service's part of a route's requests.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is the part, relative to the sum of all weights of the route.
	Weight int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind.Repeatable() }

// Pick returns the service for one request. chance is in [0, 1).
func (r *Route) Pick(chance float64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	left := int(chance * float64(r.weight))
	for i := range r.Splits {
		left -= r.Splits[i].Weight
		if left < 0 {
			return r.Splits[i].Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// CallerLimits bound what a caller may send. 0 is no bound.
type CallerLimits struct {
	// HeaderBytes bounds a request's head, in bytes.
	HeaderBytes int
	// BodyBytes bounds a request's body, in bytes.
	BodyBytes int64
	// HeaderTimeout bounds the time in which a head arrives.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	// Name is the service's name.
	Name string
	// Connections is the number of connections that a backend server accepts;
	// 0 when that isn't known.
	Connections int
	// ColdPerSecond is how many requests per second a backend server can handle while it is
	// cold after a start; 0 is no bound.
	ColdPerSecond float64
	// ColdTime is how long a backend server is cold after a start.
	ColdTime time.Duration
}

// Config is what a Table is made of.
type Config struct {
	Version  Version
	Limits   CallerLimits
	Routes   []Route
	Services []Service
	// Faults are the errors of parts that were left out or read as stricter than written.
	Faults []error
	// Organisations are the firms whose callers show a key. Nil is a site without
	// keys; an empty list is one where nobody holds a key.
	Organisations []Organisation
}

// Policy is how the backend servers of every service are used, as far as the
// configuration doesn't say.
type Policy struct {
	// MaxEjected is the largest part of a service's backend servers that may
	// be ejected for failures at one time, 0 to 1.
	MaxEjected float64
	// SlowStart is how long a backend server that joins is given less.
	SlowStart time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	version  Version
	limits   CallerLimits
	hosts    map[string]map[string]*Route
	services map[string]*service
	faults   []error
	// keyed says that callers show keys; keys and organisations index who holds them.
	keyed         bool
	keys          map[string]*Organisation
	organisations map[string]*Organisation
	// largestQuota is the largest quota of an organisation, in requests per second.
	largestQuota float64
}

// service is a configured service with its policy.
type service struct {
	Service
	policy *model.Service
}

// NewTable indexes a configuration. A route that can't be used leaves the others in force and is
// reported by Faults. If there are routes and none can be used, the error is the fault of the
// first one. It may also be an *OrganisationError. On an error nothing of the configuration is
// used.
func NewTable(c Config, p Policy) (*Table, error) {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*service, len(c.Services)),
		faults:   c.Faults,

		keyed:         c.Organisations != nil,
		keys:          make(map[string]*Organisation, len(c.Organisations)),
		organisations: make(map[string]*Organisation, len(c.Organisations)),
	}
	for i := range c.Organisations {
		if err := t.addOrganisation(&c.Organisations[i]); err != nil {
			return nil, err
		}
	}
	for _, s := range c.Services {
		t.services[s.Name] = &service{Service: s, policy: &model.Service{
			Name: s.Name, MaxEjected: p.MaxEjected, SlowStart: model.Duration(p.SlowStart),
		}}
	}
	usable := 0
	for i := range c.Routes {
		if t.add(&c.Routes[i]) {
			usable++
		}
	}
	if usable == 0 && len(c.Routes) > 0 {
		return nil, t.faults[len(c.Faults)]
	}
	return t, nil
}

// add indexes a route and reports whether it can be used.
func (t *Table) add(r *Route) bool {
	if r.Fault == nil {
		r.Fault = t.check(r)
	}
	if r.Fault != nil {
		t.faults = append(t.faults, r.Fault)
	}
	if !validPrefix(r.Prefix) {
		return false
	}
	host := strings.ToLower(r.Host)
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[host] = prefixes
	}
	if prefixes[r.Prefix] != nil {
		t.faults = append(t.faults, &InvalidError{Route: r.Name, Reason: "another route has this host and prefix"})
		return false
	}
	prefixes[r.Prefix] = r
	return r.Fault == nil
}

// check returns why a route can't be used, or nil, and sums its weights.
func (t *Table) check(r *Route) error {
	if !validPrefix(r.Prefix) {
		return &InvalidError{Route: r.Name, Reason: "the prefix must begin and end with a slash"}
	}
	if r.Attempts < 1 {
		return &InvalidError{Route: r.Name, Reason: "no attempt is allowed"}
	}
	r.weight = 0
	for _, s := range r.Splits {
		if t.services[s.Service] == nil {
			return &InvalidError{Route: r.Name, Reason: "service " + s.Service + " is not defined"}
		}
		r.weight += s.Weight
	}
	if r.weight < 1 {
		return &InvalidError{Route: r.Name, Reason: "no service has a weight"}
	}
	return nil
}

func validPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// Faults returns the errors of parts of the configuration that can't be used or are read as
// stricter than written: those of Config.Faults and one for each refused route. It must not be
// changed.
func (t *Table) Faults() []error { return t.faults }

// Version returns the table's version.
func (t *Table) Version() Version { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() CallerLimits { return t.limits }

// Service returns a service's policy, or nil when the table has none of the
// name. It must not be changed.
func (t *Table) Service(name string) *model.Service {
	if s := t.services[name]; s != nil {
		return s.policy
	}
	return nil
}

// ServiceConfig returns the configuration of a service; zero when the table has none of the name.
func (t *Table) ServiceConfig(name string) Service {
	if s := t.services[name]; s != nil {
		return s.Service
	}
	return Service{}
}

// Lookup returns the route with the longest prefix that begins the path, or nil
// when none does. host may carry a port.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[canonicalHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// canonicalHost removes the port and folds the case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// InvalidError reports a configuration that can't be used.
type InvalidError struct {
	// Route is the name of the faulty route.
	Route string
	// Reason says what is wrong.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "route " + e.Route + ": " + e.Reason }
