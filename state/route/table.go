// Package route holds one version of the routing configuration: which host and
// path lead to which service, how many attempts a request may make and how long
// it may take. A Table is immutable; a node replaces it as a whole.
package route

import (
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Version is the version number of a configuration. A higher version replaces a lower one.
type Version uint64

// Route defines how requests to one host and path prefix are handled: the services that
// serve them, their deadline, priority and number of attempts.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the HTTP host that callers address.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Kind is the kind of the requests. It determines whether a request may be executed more
	// than once.
	Kind model.ClassKind
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// Target is the target latency: the time within which a response has its full value for
	// the caller.
	Target time.Duration
	// Priority ranks requests that compete for a slot; 0 is the most important.
	Priority int
	// Anonymous means that callers need no key.
	Anonymous bool
	// Attempts is the maximum number of backend servers to which one request may be sent.
	Attempts int
	// Splits are the services among which the requests are divided. There is at least one.
	Splits []Split
	// Regions are the regions in which requests may be served; empty allows all.
	Regions []model.Region
	// Fault is the reason why the route can't be used; nil for a usable route. Requests that
	// match a faulty route are refused; they don't fall through to a route with a shorter
	// prefix.
	Fault error
	// weight is the sum of the weights of Splits.
	weight int
}

// Split assigns a share of a route's requests to a service.
type Split struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share, relative to the sum of all weights of the route.
	Weight int
}

// Repeatable reports whether a request may be executed more than once.
func (r *Route) Repeatable() bool { return r.Kind.Repeatable() }

// Pick returns the service for one request, by weighted random choice. draw is a random
// number in [0, 1).
func (r *Route) Pick(draw float64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	remaining := int(draw * float64(r.weight))
	for i := range r.Splits {
		remaining -= r.Splits[i].Weight
		if remaining < 0 {
			return r.Splits[i].Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Policy holds the load-balancing settings that apply to the backend servers of every
// service and that the configuration doesn't contain.
type Policy struct {
	// MaxEjected is the maximum fraction of a service's backend servers that may
	// be ejected for failures at one time, 0 to 1.
	MaxEjected float64
	// SlowStart is the time for which a backend server gets less load after it has joined.
	SlowStart time.Duration
}

// Table is one version of the routes, indexed for the lookup of a request's route. It is
// immutable.
type Table struct {
	version  Version
	limits   CallerLimits
	hosts    map[string]map[string]*Route
	services map[string]*service
	faults   []error
	usable   int // number of usable routes
	// keyRequired means that callers must send keys. keys indexes the organisations by key,
	// organisations by name.
	keyRequired   bool
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

// NewTable validates and indexes a configuration. An unusable route doesn't affect the other
// routes and is reported by Faults. If there are routes and none is usable, NewTable returns the
// first route's fault as the error. For an invalid organisation it returns an
// *OrganisationError. On an error the whole configuration is rejected.
func NewTable(c Config, p Policy) (*Table, error) {
	t := &Table{
		version:  c.Version,
		limits:   c.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*service, len(c.Services)),
		faults:   c.Faults,

		keyRequired:   c.Organisations != nil,
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
	for i := range c.Routes {
		if t.addRoute(&c.Routes[i]) {
			t.usable++
		}
	}
	if t.usable == 0 && len(c.Routes) > 0 {
		return nil, t.faults[len(c.Faults)]
	}
	return t, nil
}

// addRoute validates and indexes a route and reports whether it is usable. A faulty route with a
// valid prefix is indexed as well, so that it matches its requests and they are refused.
func (t *Table) addRoute(r *Route) bool {
	if r.Fault == nil {
		r.Fault = t.checkRoute(r)
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

// checkRoute sums the weights of a route's splits. It returns the reason why the route can't be
// used, or nil.
func (t *Table) checkRoute(r *Route) error {
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

// Faults returns the errors of parts of the configuration that can't be used or are interpreted
// more strictly than written: those in Config.Faults and one for each unusable route. The slice
// must not be modified.
func (t *Table) Faults() []error { return t.faults }

// Version returns the table's version.
func (t *Table) Version() Version { return t.version }

// Routes returns the number of usable routes.
func (t *Table) Routes() int { return t.usable }

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() CallerLimits { return t.limits }

// Service returns a service's policy, or nil if the table has no service of that
// name. The result must not be modified.
func (t *Table) Service(name string) *model.Service {
	if s := t.services[name]; s != nil {
		return s.policy
	}
	return nil
}

// ServiceConfig returns the configuration of a service, or a zero Service if the table has no
// service of that name.
func (t *Table) ServiceConfig(name string) Service {
	if s := t.services[name]; s != nil {
		return s.Service
	}
	return Service{}
}

// Lookup returns the route of the host with the longest prefix that matches the
// path, or nil if none matches. host may include a port.
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

// canonicalHost returns host without its port and in lower case.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// InvalidError reports a route that can't be used.
type InvalidError struct {
	// Route is the name of the faulty route.
	Route string
	// Reason describes the fault.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "route " + e.Route + ": " + e.Reason }
