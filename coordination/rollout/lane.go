package rollout

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// Lanes holds the lane of each service that has had a roll-out. It is immutable; a nil Lanes
// is empty.
type Lanes struct {
	services map[string]*Lane
}

// Of returns the lane of a service; nil if all its backend servers may be used.
func (l *Lanes) Of(service string) *Lane {
	if l == nil {
		return nil
	}
	return l.services[service]
}

// Lane holds the backend servers of one service that requests may be sent to.
type Lane struct {
	// Main are the backend servers that any request may be sent to.
	Main []endpoint.Record
	// Canaries are the backend servers that a request may be sent to only if Try allows it.
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

// Try reports whether a request may be sent to a canary. If so, it has taken one request from
// the allowance, which Spare returns if the request isn't sent.
func (l *Lane) Try(repeatable bool) bool {
	return len(l.Canaries) > 0 && (repeatable || !l.repeatableOnly) && l.allowance.take()
}

// Spare returns one request to the allowance, for a request that Try has allowed and that
// wasn't sent.
func (l *Lane) Spare() { l.allowance.add(oneRequest) }

// Reached adds the canary's fraction of one request to the allowance. It is called for each
// request that has reached a backend server of Main; requests that reach none do not count.
func (l *Lane) Reached() {
	if len(l.Canaries) > 0 {
		l.allowance.earn()
	}
}

// Tries reports whether a version is on trial.
func (l *Lane) Tries(version string) bool { return version == l.target && len(l.Canaries) > 0 }

// Rejects reports whether backend servers of a version must not receive requests.
func (l *Lane) Rejects(version string) bool {
	if l == nil {
		return false
	}
	return l.targetExcluded && version == l.target || slices.Contains(l.rejected, version)
}

// canarySuffix ends the name of a CanaryService. No real service has such a name.
const canarySuffix = "/canary"

// newLane returns the lane of a service with these backend servers. Backend servers of
// doubted versions are used only if there are no others.
func newLane(e *rollout.Entry, doubted []string, servers []endpoint.Record, r *localState) *Lane {
	l := &Lane{target: e.Order.Target, rejected: e.Rejected, repeatableOnly: r.repeatableOnly, allowance: r.allowance}
	switch e.Phase {
	case rollout.Pending, rollout.Stopped, rollout.Reverted:
		l.targetExcluded = true
	}
	base, target := l.split(servers)
	switch {
	case r.exclusionOver:
		l.Main = append(base, target...)
	case e.Phase == rollout.Shifting, e.Phase == rollout.Succeeded:
		l.Main = target
		if len(target) == 0 {
			l.Main = base // the old version is better than none
		}
	case e.Phase == rollout.Canary:
		l.Main = base
		l.Canaries = chooseCanaries(e.Order.Revision, target, r.allowance.canaryCount(len(base)))
		l.CanaryService = &model.Service{Name: e.Order.Service + canarySuffix}
	default:
		l.Main = withoutVersions(base, doubted)
	}
	return l
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
func (l *Lane) split(servers []endpoint.Record) (base, target []endpoint.Record) {
	for i := range servers {
		switch r := servers[i]; {
		case r.Version == l.target:
			target = append(target, r)
		case !slices.Contains(l.rejected, r.Version):
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
