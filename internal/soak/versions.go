package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const (
	// inForce is how long after its acceptance a version is in force on every
	// node, with a second for the machine's own delays.
	inForce = 3 * time.Second
	// backAfter is how long after a node has shown a version it may still handle
	// a request that was sent before by an older one.
	backAfter = 250 * time.Millisecond
	// askEvery is the time between two looks which version a node has.
	askEvery = 100 * time.Millisecond
)

// versions are the configurations that the operator has written. Each adds a
// route, so that a caller can tell which one a node has.
type versions struct {
	site    *site
	callers *callers

	mu       sync.Mutex
	accepted []time.Time // of version 1, 2, ...
	found    []Violation
}

// versionPrefix begins the paths that versions add. They need no key.
const versionPrefix = "/v"

// versionRoute returns the path that a version adds.
func versionRoute(version int) string { return fmt.Sprintf("%s%d/", versionPrefix, version) }

// change writes the next version.
func (v *versions) change() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.accepted = append(v.accepted, time.Now())
	v.write()
	v.accepted[len(v.accepted)-1] = time.Now()
}

// writeAgain writes the newest version again, which the store may have lost.
func (v *versions) writeAgain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.write()
}

// write writes the newest version. v.mu is held.
func (v *versions) write() {
	next := len(v.accepted)
	routes := []platformtest.Route{
		{Host: routeHost, Prefix: "/status/", Kind: platformtest.Idempotent, Service: services[0], Attempts: 2},
		{Host: routeHost, Prefix: "/book/", Kind: platformtest.NonIdempotent, Service: services[0], Attempts: 2},
		{Host: routeHost, Prefix: "/layout/", Kind: platformtest.Idempotent, Service: services[1], Attempts: 2},
	}
	for n := 1; n <= next; n++ {
		routes = append(routes, platformtest.Route{
			Host: routeHost, Prefix: versionRoute(n), Kind: platformtest.Idempotent, Service: services[0], Attempts: 2,
			Anonymous: true,
		})
	}
	for i := range routes {
		routes[i].TimeoutMillis = int(2 * slowWait.Milliseconds()) // callers give up before
	}
	if v.site.cfg.Plan.Ahead {
		v.site.store.Put("op", "config", aheadConfig(next, routes))
		return
	}
	config := platformtest.Config(fmt.Sprintf("r%d", next), services, routes...)
	if v.site.cfg.Plan.Evacuating {
		config = platformtest.ColdConfig(fmt.Sprintf("r%d", next), services, coldRate, routes...)
	}
	if v.site.cfg.Plan.Keyed {
		config = platformtest.KeyedConfig(fmt.Sprintf("r%d", next), services, organisations(next), routes...)
	}
	v.site.store.Put("op", "config", config)
}

// newest returns the newest version, and when it was accepted.
func (v *versions) newest() (int, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := len(v.accepted)
	return n, v.accepted[n-1]
}

func (v *versions) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.found = append(v.found, Violation{Check: CheckVersion, Detail: fmt.Sprintf(format, args...)})
}

// watch looks until ctx ends which version a node has. late reports whether a
// request that was sent at the given time had to find a version that was accepted
// more than inForce before.
func (v *versions) watch(ctx context.Context, n *node, late func(accepted, sent time.Time) bool) {
	from := n.caller(false)
	defer from.close()
	shown, shownAt, shownLife := 0, time.Time{}, 0
	for ctx.Err() == nil {
		time.Sleep(askEvery)
		version, accepted := v.newest()
		_, before := n.running()
		r := v.callers.send(from, n, versionRoute(version))
		_, after := n.running()
		if before != after || r.Status == 0 {
			continue // which of the two lives has answered isn't known
		}
		has := r.Status != http.StatusNotFound && r.Status != http.StatusServiceUnavailable
		switch {
		case has:
			shown, shownAt, shownLife = version, r.Done, after
		case r.Status == http.StatusServiceUnavailable:
		case shown >= version && shownLife == after && r.Sent.Sub(shownAt) > backAfter:
			v.add("node %d showed version %d and then answered %s with 404", n.number, shown, r.ID)
		case r.Sent.Sub(accepted) > inForce && late(accepted, r.Sent):
			v.add("node %d answered %s with 404, %v after version %d", n.number, r.ID, r.Sent.Sub(accepted), version)
		}
	}
}

// inTouch is how long after its connections have fallen silent a node must hold the versions that are
// due, with a second for the machine's own delays.
const inTouch = 4 * time.Second

// mustBeInForce reports whether a request that was sent at the given time had to find a version that
// was accepted more than inForce before. It had not if anything but planned work and silences has
// been under way since shortly before the acceptance, or a silence until shortly before the request.
func (s *soak) mustBeInForce(accepted, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.spans {
		since := accepted.Add(-calm)
		if p.Fault == FaultSilence {
			since = sent.Add(-inTouch)
		}
		if !p.Fault.Planned() && p.To.After(since) {
			return false
		}
	}
	return true
}
