package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the callers.
const (
	// CallersPerNode is the usual number of callers beside each node, each with a
	// connection of its own.
	CallersPerNode = 3
	// callerPause is the time between two requests of a caller.
	callerPause = 15 * time.Millisecond
	// callerWait is how long a caller waits for an answer, and slowWait for one of a request
	// that takes long: until after the end of a node that was asked to stop as it was sent.
	callerWait = 2 * time.Second
	slowWait   = 4 * time.Second
	// impatientEvery is how many callers there are to one that comes back at once where it was
	// told to wait. Others wait for up to a third of their time.
	impatientEvery = 8
	// aheadEvery, freshEvery and slowEvery are how many requests there are to one that is
	// sent with another behind it, one on a connection of its own, and one that takes long.
	aheadEvery = 7
	freshEvery = 5
	slowEvery  = 200
	// smallBody and largeBody are the sizes of bodies, in bytes: one that a node keeps, and
	// one that it passes on as it comes. Every largeEvery-th is large.
	smallBody  = 9
	largeBody  = 60_000
	largeEvery = 4
	// routeHost is the host that all routes are of.
	routeHost = "soak.example"
)

// callers send requests and note what becomes of them.
type callers struct {
	site     *site
	versions *versions

	mu       sync.Mutex
	requests []Request
	count    int
	wait     sync.WaitGroup
	// quiet is the number of faults that keep callers from sending.
	quiet atomic.Int32
}

// start starts the callers beside a node until ctx ends.
func (c *callers) start(ctx context.Context, n *node, count int) {
	for i := range count {
		c.wait.Go(func() {
			from := n.caller(false)
			if c.site.cfg.Plan.Habits {
				from.habit = habit(i % int(habitCount))
				from.fresh = from.habit == habitFresh
			}
			defer from.close()
			for ctx.Err() == nil {
				if c.quiet.Load() > 0 {
					wait(ctx, callerPause)
					continue
				}
				pause := c.next(from, n)
				if i%impatientEvery == impatientEvery-1 {
					pause = callerPause
				}
				wait(ctx, pause)
			}
		})
	}
}

// next sends the next requests of a caller, and returns how long it pauses then.
func (c *callers) next(from *caller, n *node) time.Duration {
	switch {
	case c.site.cfg.Plan.Habits:
		return c.nextHabit(from, n)
	case c.site.cfg.Plan.Ahead:
		return c.nextAhead(from, n)
	}
	number := c.number()
	batch := []*Request{c.request(n, number, "")}
	if number%aheadEvery == 0 {
		batch = append(batch, c.request(n, c.number(), "/status/"))
	}
	if number%freshEvery == 0 {
		from.close()
	}
	from.exchange(batch...)
	c.keep(batch...)
	return batch[0].pause()
}

// pause returns how long its caller pauses behind a request.
func (r *Request) pause() time.Duration { return max(callerPause, min(r.After, r.Wait/3)) }

// caller returns a caller beside the node.
func (n *node) caller(fresh bool) *caller { return &caller{addr: n.addr(portCallers), fresh: fresh} }

// kinds are the requests in turn.
var kinds = []struct {
	method, prefix string
	idempotent     bool
}{
	{http.MethodGet, "/status/", true},
	{http.MethodPost, "/book/", false},
	{http.MethodGet, "/layout/", true},
}

// send sends one request, to a path with the given beginning or to one of the
// routes in turn, and returns it as its caller saw it.
func (c *callers) send(from *caller, n *node, prefix string) Request {
	r := c.request(n, c.number(), prefix)
	from.exchange(r)
	c.keep(r)
	return *r
}

// ask sends one request that may run more than once for a path and returns it as its caller
// saw it.
func (c *callers) ask(from *caller, n *node, path string) Request {
	r := c.newRequest(n, c.number(), http.MethodGet, path, true)
	from.exchange(r)
	c.keep(r)
	return *r
}

// number returns the number of the next request.
func (c *callers) number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.count
}

func requestID(number int) string { return fmt.Sprintf("soak-%d", number) }

// request returns the request of a number.
func (c *callers) request(n *node, number int, prefix string) *Request {
	kind := kinds[number%len(kinds)]
	if prefix == "" {
		prefix = kind.prefix
	} else {
		kind = kinds[0]
	}
	path := prefix + requestID(number)
	if number%slowEvery == 0 && prefix == kind.prefix && !c.site.cfg.Plan.Ahead {
		path += slowSuffix
	}
	return c.newRequest(n, number, kind.method, path, kind.idempotent)
}

func (c *callers) newRequest(n *node, number int, method, path string, idempotent bool) *Request {
	r := &Request{
		ID: requestID(number), Method: method, Path: path, Node: n.number, Service: n.set.Service, Idempotent: idempotent,
		Wait: callerWait,
	}
	if isSlow(path) {
		r.Wait = slowWait
	}
	if !idempotent {
		r.BodyBytes = smallBody
		if number%largeEvery == 0 {
			r.BodyBytes = largeBody
		}
	}
	if c.site.cfg.Plan.Keyed && !strings.HasPrefix(path, versionPrefix) {
		newest, _ := c.versions.newest()
		r.Key = keyFor(number, newest)
	}
	return r
}

// keep notes requests whose exchange is over.
func (c *callers) keep(batch ...*Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range batch {
		c.requests = append(c.requests, *r)
	}
}

// taken returns the requests so far.
func (c *callers) taken() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.requests...)
}
