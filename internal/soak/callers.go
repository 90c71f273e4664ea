package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// Parameters of the callers.
const (
	// callersPerNode is the number of callers beside each node, each with a
	// connection of its own that it uses until the node closes it.
	callersPerNode = 3
	// callerPause is the time between two requests of a caller.
	callerPause = 15 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 2 * time.Second
	// routeHost is the host that all routes are of.
	routeHost = "soak.example"
)

// callers send requests and note what becomes of them.
type callers struct {
	site     *site
	versions *versions

	mu       sync.Mutex
	requests []Request
	next     int
	wait     sync.WaitGroup
}

// start starts the callers beside a node until ctx ends.
func (c *callers) start(ctx context.Context, n *node) {
	for range callersPerNode {
		c.wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.send(client, n, "")
				time.Sleep(callerPause)
			}
		})
	}
}

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
func (c *callers) send(client *http.Client, n *node, prefix string) Request {
	number := c.number()
	kind := kinds[number%len(kinds)]
	if prefix == "" {
		prefix = kind.prefix
	} else {
		kind = kinds[0]
	}
	return c.sendAs(client, n, number, kind.method, prefix+requestID(number), kind.idempotent)
}

// ask sends one request for a path and returns it as its caller saw it.
func (c *callers) ask(client *http.Client, n *node, method, path string, idempotent bool) Request {
	return c.sendAs(client, n, c.number(), method, path, idempotent)
}

// number returns the number of the next request.
func (c *callers) number() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

func requestID(number int) string { return fmt.Sprintf("soak-%d", number) }

func (c *callers) sendAs(client *http.Client, n *node, number int, method, path string, idempotent bool) Request {
	r := Request{
		ID: requestID(number), Method: method, Path: path, Node: n.number, Service: n.set.Service, Idempotent: idempotent,
	}
	if c.site.cfg.Plan.Keyed && !strings.HasPrefix(path, versionPrefix) {
		newest, _ := c.versions.newest()
		r.Key = keyFor(number, newest)
	}
	exchange(client, n.addr(portCallers), &r)
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	return r
}

// exchange sends a request and notes its answer.
func exchange(client *http.Client, addr string, r *Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait+callerWait/2)
	defer cancel()
	defer func() { r.Done = time.Now() }()
	content := ""
	if !r.Idempotent {
		content = "a booking"
	}
	// A body that can't be read again, be it empty, keeps net/http from repeating
	// the request on a connection that was closed: its caller would have given
	// that attempt another id.
	body := io.NopCloser(strings.NewReader(content))
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, body)
	if err != nil {
		return // the address is the site's own
	}
	req.Host = routeHost
	req.Header.Set(platformtest.HeaderRequestID, r.ID)
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	req.Header.Set(platformtest.HeaderWait, strconv.FormatInt(callerWait.Milliseconds(), 10))
	r.Sent = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.Status, r.Stamped, r.Body = resp.StatusCode, platformtest.Stamped(resp.Header), string(b)
}

// taken returns the requests so far.
func (c *callers) taken() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Request(nil), c.requests...)
}
