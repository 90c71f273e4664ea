package rollout

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// RoutingTable holds the Routing of each service that has had a roll-out. It is immutable; a
// nil RoutingTable is empty.
type RoutingTable struct {
	services map[string]*Routing
}

// Of returns the routing of a service; nil if all its backend servers may be used.
func (rt *RoutingTable) Of(service string) *Routing {
	if rt == nil {
		return nil
	}
	return rt.services[service]
}

// Routing holds the backend servers of one service that requests may be sent to.
type Routing struct {
	// Main are the backend servers that any request may be sent to.
	Main []endpoint.Record
	// Canaries are the backend servers that a request may be sent to only if AllowCanary
	// permits it.
	Canaries []endpoint.Record
	// CanaryService replaces the service when a canary is picked, so that the balancer keeps
	// separate estimates for the two versions.
	CanaryService *model.Service

	target         string
	targetExcluded bool // the target receives no requests
	rejected       []string
	repeatableOnly bool
	allowance      *Allowance
}

// AllowCanary reports whether a request may be sent to a canary. If so, it has taken one
// request from the allowance, which RefundCanary returns if the request isn't sent.
func (rt *Routing) AllowCanary(repeatable bool) bool {
	return len(rt.Canaries) > 0 && (repeatable || !rt.repeatableOnly) && rt.allowance.take()
}

// RefundCanary returns one request to the allowance, for a request that AllowCanary has
// permitted and that wasn't sent.
func (rt *Routing) RefundCanary() { rt.allowance.add(oneRequest) }

// CreditCanary adds the canary's fraction of one request to the allowance. It is called for
// each request that has reached a backend server of Main; requests that reach none do not
// count.
func (rt *Routing) CreditCanary() {
	if len(rt.Canaries) > 0 {
		rt.allowance.earn()
	}
}

// OnTrial reports whether a version is on trial.
func (rt *Routing) OnTrial(version string) bool { return version == rt.target && len(rt.Canaries) > 0 }

// Rejects reports whether backend servers of a version must not receive requests.
func (rt *Routing) Rejects(version string) bool {
	if rt == nil {
		return false
	}
	return rt.targetExcluded && version == rt.target || slices.Contains(rt.rejected, version)
}

// canarySuffix ends the name of a CanaryService. No real service has such a name.
const canarySuffix = "/canary"

// newRouting returns the routing of a service with these backend servers. Backend servers of
// doubted versions are used only if there are no others.
func newRouting(e *rollout.Entry, doubted []string, servers []endpoint.Record, r *localState) *Routing {
	rt := &Routing{target: e.Order.Target, rejected: e.Rejected, repeatableOnly: r.repeatableOnly, allowance: r.allowance}
	switch e.Phase {
	case rollout.Pending, rollout.Stopped, rollout.Reverted:
		rt.targetExcluded = true
	}
	base, target := rt.split(servers)
	switch {
	case r.exclusionOver:
		rt.Main = append(base, target...)
	case e.Phase == rollout.Shifting, e.Phase == rollout.Succeeded:
		rt.Main = target
		if len(target) == 0 {
			rt.Main = base // the old version is better than none
		}
	case e.Phase == rollout.Canary:
		rt.Main = base
		rt.Canaries = chooseCanaries(e.Order.Revision, target, r.allowance.canaryCount(len(base)))
		rt.CanaryService = &model.Service{Name: e.Order.Service + canarySuffix}
	default:
		rt.Main = withoutVersions(base, doubted)
	}
	return rt
}

// withoutVersions returns the backend servers of all but the given versions, or all of them
// if none would be left.
func withoutVersions(servers []endpoint.Record, versions []string) []endpoint.Record {
	if len(versions) == 0 {
		return servers
	}
	left := slices.DeleteFunc(slices.Clone(servers), func(r endpoint.Record) bool { return slices.Contains(versions, r.Version) })
	if len(left) == 0 {
		return servers
	}
	return left
}

// split returns the backend servers of other versions and those of the target. Those of
// rejected versions are in neither list.
func (rt *Routing) split(servers []endpoint.Record) (base, target []endpoint.Record) {
	for i := range servers {
		switch r := servers[i]; {
		case r.Version == rt.target:
			target = append(target, r)
		case !slices.Contains(rt.rejected, r.Version):
			base = append(base, r)
		}
	}
	return base, target
}

// chooseCanaries returns the n backend servers that receive the canary's requests. All nodes
// choose the same ones.
func chooseCanaries(revision uint64, target []endpoint.Record, n int) []endpoint.Record {
	chosen := slices.Clone(target)
	slices.SortFunc(chosen, func(a, b endpoint.Record) int {
		return cmp.Compare(rankHash(revision, a.Node), rankHash(revision, b.Node))
	})
	return chosen[:min(n, len(chosen))]
}

// Allowance limits the requests that one node sends to a version on trial. It is a token
// bucket that is filled by the node's requests to the other version. It is safe for
// concurrent use.
type Allowance struct {
	balance atomic.Int64 // in the unit of oneRequest
	credit  int64        // added for each request that has reached another version
}

const (
	// oneRequest is the allowance for one request, in millionths of a request.
	oneRequest = 1_000_000
	// maxAllowance limits what can be saved up, so that a node sends no burst of requests to
	// a version that has just appeared or has just turned bad.
	maxAllowance = 2 * oneRequest
)

// canaryCount returns how many backend servers share the allowed requests, given the number
// of those of the other version. They are so few that each receives about as many requests as
// one of the others, so that a version that is bad under load shows it.
func (a *Allowance) canaryCount(base int) int {
	return max(minCanaries, base*int(a.credit)/oneRequest)
}

// newAllowance returns an empty allowance. share is the largest fraction of all requests that
// the version may receive if it turns out bad.
func newAllowance(share float64) *Allowance {
	return &Allowance{credit: int64(oneRequest * share * canaryShare)}
}

func (a *Allowance) earn() { a.add(a.credit) }

func (a *Allowance) add(amount int64) {
	for {
		old := a.balance.Load()
		if a.balance.CompareAndSwap(old, min(old+amount, maxAllowance)) {
			return
		}
	}
}

func (a *Allowance) take() bool {
	for {
		old := a.balance.Load()
		if old < oneRequest {
			return false
		}
		if a.balance.CompareAndSwap(old, old-oneRequest) {
			return true
		}
	}
}
