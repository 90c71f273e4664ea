package snapshot

import (
	"net"
	"slices"
	"strings"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Target is one contract prepared for lookups on the path of a request.
type Target struct {
	// Contract is the organisation's contract.
	Contract *model.Contract

	classes map[string]*model.Class
}

// Match is the result of a lookup: what a request is and where it goes. All
// pointers are into the immutable snapshot.
type Match struct {
	// Contract is the organisation's contract.
	Contract *model.Contract
	// Route is the first route that matches; nil when none does.
	Route *model.Route
	// Class is the route's class.
	Class *model.Class
	// Service is the route's service.
	Service *model.Service
	// HandledBy says which system handles the request.
	HandledBy model.System
}

// Lookup finds the organisation by the request's Host and the first route that
// matches method and path. It returns false when no contract has the host. It
// allocates nothing for a lower-case host without a port.
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
	// Whole segments only: /a matches /a and /a/b, but not /ab.
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
