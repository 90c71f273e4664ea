package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// Parameters of callers that send several requests behind one another.
const (
	// singleShare is the share of requests that have none behind them, and mostBehind the
	// largest number of requests behind one.
	singleShare = 0.3
	mostBehind  = 5
	// mostGap is the longest time between two of them.
	mostGap = 120 * time.Millisecond
	// idleShare is the share of callers' pauses that last idlePause, in which shorter idle
	// timeouts end a connection.
	idleShare = 0.1
	idlePause = 500 * time.Millisecond
	// largeShare and hugeShare are the shares of requests for large and huge answers.
	largeShare = 0.02
	hugeShare  = 0.06
)

// changesEvery is the time between two versions of a series.
const changesEvery = 340 * time.Millisecond

// changes writes versions in series.
func (s *soak) changes(ctx context.Context, step Step) {
	until := time.Now().Add(step.For)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.versions.change()
		wait(ctx, changesEvery)
	}
}

// Timeouts in milliseconds that versions take in turn. The fast routes' are shorter than what a
// slow answer takes, the slow route's longer.
var (
	fastTimeouts = []int{800, 600, 1000}
	slowTimeouts = []int{4000, 3500}
	idleTimeouts = []int{15000, 400, 2000, 300, 5000}
)

// aheadConfig returns the configuration of a version.
func aheadConfig(version int, routes []platformtest.Route) []byte {
	routes = append(routes, platformtest.Route{Host: routeHost, Prefix: slowPrefix, Kind: platformtest.Idempotent, Service: services[1], Attempts: 2})
	for i := range routes {
		routes[i].TimeoutMillis = fastTimeouts[version%len(fastTimeouts)]
	}
	routes[len(routes)-1].TimeoutMillis = slowTimeouts[version%len(slowTimeouts)]
	return platformtest.IdleConfig(fmt.Sprintf("r%d", version), services, idleTimeouts[version%len(idleTimeouts)], routes...)
}

// dueFor returns the shortest timeout that the route of a path ever has.
func dueFor(path string) time.Duration {
	timeouts := fastTimeouts
	if strings.HasPrefix(path, slowPrefix) {
		timeouts = slowTimeouts
	}
	return time.Duration(slices.Min(timeouts)) * time.Millisecond
}

// due returns the shortest time after which a node may give up on a request.
func (r *Request) due() time.Duration {
	if r.Due > 0 {
		return min(r.Due, r.Wait)
	}
	return r.Wait
}

// nextAhead sends a request, mostly with others behind it, and returns how long the caller
// pauses then.
func (c *callers) nextAhead(from *caller, n *node) time.Duration {
	number := c.number()
	rng := rand.New(rand.NewPCG(c.site.cfg.Plan.Seed, uint64(number)))
	batch := []*Request{c.drawRequest(rng, n, number, true)}
	if rng.Float64() >= singleShare {
		for range 1 + rng.IntN(mostBehind) {
			r := c.drawRequest(rng, n, c.number(), false)
			r.Gap = time.Duration(rng.Float64() * float64(mostGap))
			batch = append(batch, r)
		}
	}
	from.exchange(batch...)
	c.keep(batch...)
	return pauseBehind(rng, batch[0])
}

// pauseBehind draws how long a caller pauses behind requests of which first is the first.
func pauseBehind(rng *rand.Rand, first *Request) time.Duration {
	if rng.Float64() < idleShare {
		return idlePause
	}
	return first.pause()
}

// dueRequest returns the request of a number for a path, with the time in which its route answers.
func (c *callers) dueRequest(n *node, number int, method, path string) *Request {
	r := c.newRequest(n, number, method, path, method == http.MethodGet)
	r.Due = dueFor(path)
	return r
}

// drawRequest draws a request: every second is slow among the first of those behind one another,
// few are behind others.
func (c *callers) drawRequest(rng *rand.Rand, n *node, number int, first bool) *Request {
	method, prefix, slow := http.MethodGet, "/status/", 0.05
	if first {
		slow = 0.5
	}
	switch share := rng.Float64(); {
	case share < slow:
		prefix = slowPrefix
	case share < slow+0.15:
		prefix = "/layout/"
	case share < slow+0.2:
		method, prefix = http.MethodPost, "/book/"
	}
	path := prefix + requestID(number)
	switch share := rng.Float64(); {
	case method == http.MethodPost && share < lateShare:
		path += lateSuffix
	case share < largeShare:
		path += largeSuffix
	case share < largeShare+hugeShare:
		path += hugeSuffix
	}
	r := c.dueRequest(n, number, method, path)
	if isLate(path) {
		r.BodyBytes = largeBody
	}
	if prefix == slowPrefix {
		r.Wait = slowWait
	}
	return r
}
