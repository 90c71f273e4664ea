package snapshot

import (
	"net"
	"slices"
	"strings"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Target is a contract with an index of its classes, for the lookup of requests.
type Target struct {
	// Contract is the organisation's contract.
	Contract *model.Contract

	classes map[string]*model.Class
}

// Match is the result of a lookup: the contract, route, class and service of a
// request. All its pointers refer to the immutable snapshot.
type Match struct {
	// Contract is the organisation's contract.
	Contract *model.Contract
	// Route is the first matching route; nil if none matches. Class and Service
	// are nil then, too.
	Route *model.Route
	// Class is the route's class.
	Class *model.Class
	// Service is the route's service.
	Service *model.Service
	// HandledBy is the system that handles the request.
	HandledBy model.System
}

// Lookup finds the contract that claims the request's HTTP host, and its first
// route that matches the method and path. It returns false if no contract claims
// the host. It does not allocate memory if host is in lower case and has no port.
func (s *Snapshot) Lookup(host, method, path string) (Match, bool) {
	t := s.hosts[NormalizeHost(host)]
	if t == nil {
		return Match{}, false
	}
	m := Match{Contract: t.Contract, HandledBy: t.Contract.HandledBy}
	for i := range t.Contract.Routes {
		r := &t.Contract.Routes[i]
		if !matches(r, method, path) {
			continue
		}
		m.Route = r
		m.Class = t.classes[r.Class]
		m.Service = s.services[r.Service].Service
		if r.HandledBy != "" {
			m.HandledBy = r.HandledBy
		}
		break
	}
	return m, true
}

// NormalizeHost returns host in lower case and without its port.
func NormalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}

func matches(r *model.Route, method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	// A prefix matches only whole path segments: /a matches /a and /a/b, but not /ab.
	return len(path) == len(r.PathPrefix) ||
		strings.HasSuffix(r.PathPrefix, "/") ||
		path[len(r.PathPrefix)] == '/'
}

func indexHosts(contracts map[string]*ContractEntry) map[string]*Target {
	hosts := make(map[string]*Target, len(contracts))
	for _, e := range contracts {
		t := &Target{Contract: e.Contract, classes: make(map[string]*model.Class, len(e.Contract.Classes))}
		for i := range e.Contract.Classes {
			c := &e.Contract.Classes[i]
			t.classes[c.Name] = c
		}
		for _, h := range e.Contract.Hosts {
			hosts[NormalizeHost(h)] = t
		}
	}
	return hosts
}
