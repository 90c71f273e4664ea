package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// organisation is the organisation of the tests, with its Host header.
const (
	organisation = "clinic-csepel"
	host         = "clinic.rooms.example"
)

// hosts returns the first n hosts of the Room Signage Mesh, all with foglalas.
func hosts(n int) []Host {
	h := RoomSignage()[:n]
	for i := range h {
		h[i].Service = "foglalas"
	}
	return h
}

// documents returns the example documents with limits that the tests' load
// does not reach, and without slow starts.
func documents(t *testing.T) model.Batch {
	b := batch(t, "room-signage")
	for _, c := range b.Contracts {
		c.Rate = model.Rate{PerSecond: 100_000, Burst: 100_000}
		c.Concurrency = 10_000
	}
	for _, s := range b.Services {
		s.SlowStart = 0
	}
	return b
}

// contractOf picks the contract of an organisation.
func contractOf(b model.Batch, name string) *model.Contract {
	i := slices.IndexFunc(b.Contracts, func(c *model.Contract) bool { return c.Organisation == name })
	return b.Contracts[i]
}

// post sends v as JSON.
func post(t *testing.T, url string, v any) {
	t.Helper()
	raw, err := json.Marshal(v)
	must.NoError(t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Less(t, 300, resp.StatusCode)
}

// platformFaults sets the faults of the platform's stand-in.
func platformFaults(t *testing.T, f *Fleet, faults platformtest.Faults) {
	t.Helper()
	post(t, f.PlatformURL()+platformtest.PathFaults, &faults)
}

// changes sends changes to the test's contract: each one adds a route, so that
// a caller can tell which version a node serves.
type changes struct {
	contract model.Contract
	base     uint64
	count    int
}

// marker is the path of the route that a change adds.
func marker(change int) string { return fmt.Sprintf("/marker-%d", change) }

// request returns the next change.
func (c *changes) request() *operator.ApplyRequest {
	next := c.contract
	next.Routes = append(slices.Clone(next.Routes), model.Route{
		Name: "marker-" + strconv.Itoa(c.count+1), PathPrefix: marker(c.count + 1), Service: "foglalas", Class: "screens",
	})
	return &operator.ApplyRequest{
		ChangeID: fmt.Sprintf("marker-%d", c.count+1),
		Batch:    model.Batch{Contracts: []*model.Contract{&next}},
		Base:     map[string]uint64{"contract/" + organisation: c.base},
	}
}

// accepted notes that a request was accepted as a version.
func (c *changes) accepted(req *operator.ApplyRequest, version uint64) {
	c.contract, c.base = *req.Batch.Contracts[0], version
	c.count++
}

// next applies the next change at a node and returns its version.
func (c *changes) next(t *testing.T, m *Member) uint64 {
	t.Helper()
	req := c.request()
	resp, err := m.Operator().Apply(context.Background(), req)
	must.NoError(t, err)
	c.accepted(req, resp.Version)
	return resp.Version
}

// first applies the documents, waits until they are in force, and returns the
// changes that may follow.
func first(t *testing.T, f *Fleet) *changes {
	t.Helper()
	docs := documents(t)
	resp := apply(t, f.Members[0], "first", docs, nil)
	return &changes{contract: *contractOf(docs, organisation), base: resp.Version}
}

// inForce waits until a version is in force on all nodes, as m knows it.
func inForce(t *testing.T, m *Member, version uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %d in force", version), func() bool {
		p, err := m.Operator().Progress(context.Background(), version, 0)
		return err == nil && p.InForce
	})
}

// ask sends a GET as a caller; empty strings mean that no answer came.
func ask(m *Member, path string) (outcome.Outcome, outcome.Reason) {
	req, err := http.NewRequest(http.MethodGet, m.CallerURL()+path, nil)
	if err != nil {
		return "", ""
	}
	req.Host, req.Close = host, true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", ""
	}
	_ = resp.Body.Close() // the headers say all
	return outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome)), outcome.Reason(resp.Header.Get(outcome.HeaderReason))
}

// observer watches as a caller that no node goes back: once a node, in any of
// its lives, has served a marker, it never again lacks it.
type observer struct {
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	// served is the newest marker that each node served; notReady counts the
	// answers that a node was not ready.
	served   map[model.NodeID]int
	notReady int
	faults   []string
}

func observe(t *testing.T, f *Fleet) *observer {
	o := &observer{stop: make(chan struct{}), served: make(map[model.NodeID]int)}
	for _, m := range f.Members {
		o.wait.Go(func() { o.follow(m) })
	}
	t.Cleanup(o.end)
	return o
}

func (o *observer) end() {
	select {
	case <-o.stop:
	default:
		close(o.stop)
	}
	o.wait.Wait()
}

func (o *observer) follow(m *Member) {
	newest := 0
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if newest > 0 {
			o.check(m, newest)
		}
		if _, reason := ask(m, marker(newest+1)); served(reason) {
			newest++
			o.mu.Lock()
			o.served[m.Node] = newest
			o.mu.Unlock()
		}
	}
}

// served tells whether a refusal for the want of a backend server, the answer
// to every marker here, shows that the node has the route.
func served(r outcome.Reason) bool { return r == outcome.ReasonNoEndpoint }

func (o *observer) check(m *Member, newest int) {
	out, reason := ask(m, marker(newest))
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case out == "" || served(reason): // down, or as before
	case out == outcome.NotRun && reason == outcome.ReasonNotReady:
		o.notReady++
	case out == outcome.NotRun && reason == outcome.ReasonDeadline:
		// The node was frozen in the middle of the request. Only a route that
		// was found has a deadline.
	default:
		o.faults = append(o.faults, fmt.Sprintf("%s served marker %d, then answered %s %s", m.Node, newest, out, reason))
	}
}

// checkNeverBack ends the observer and checks what it saw, and in the nodes'
// logs that no version was applied or served after a newer one.
func checkNeverBack(t *testing.T, f *Fleet, o *observer, markers int) {
	t.Helper()
	for _, m := range f.Members {
		eventually(t, "callers of "+string(m.Node)+" see the last change", func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.served[m.Node] >= markers
		})
	}
	o.end()
	must.SliceEmpty(t, o.faults, must.Sprint(o.faults))
	for _, m := range f.Members {
		checkLog(t, m)
	}
}

// checkLog follows one node's log over all its lives.
func checkLog(t *testing.T, m *Member) {
	t.Helper()
	file, err := os.Open(m.LogPath())
	must.NoError(t, err)
	defer file.Close()
	var held, newestServed uint64
	ready := false
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		switch {
		case strings.Contains(line, "event=node_started"):
			held, ready = 0, false
		case strings.Contains(line, "event=version_applied"):
			v := field(t, line, "version")
			must.Greater(t, held, v, must.Sprint(m.Node, line))
			held = v
		case strings.Contains(line, "event=ready_changed"):
			ready = strings.Contains(line, "ready=true")
		}
		if ready {
			must.GreaterEq(t, newestServed, held, must.Sprint(m.Node, line))
			newestServed = held
		}
	}
}

// field reads a number of a log line.
func field(t *testing.T, line, key string) uint64 {
	t.Helper()
	_, rest, _ := strings.Cut(line, " "+key+"=")
	text, _, _ := strings.Cut(rest, " ")
	n, err := strconv.ParseUint(text, 10, 64)
	must.NoError(t, err, must.Sprint(line))
	return n
}

// runs reads what one backend server ran.
func runs(t *testing.T, m *Member) backend.Counts {
	t.Helper()
	resp, err := http.Get(m.BackendURL() + "/runs")
	must.NoError(t, err)
	defer resp.Body.Close()
	var c backend.Counts
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

// callers offers a load through the nodes until stop is called; stop returns
// what the callers saw, checked against what the backend servers ran.
func callers(t *testing.T, entries, backends []*Member, classes ...load.Class) (stop func() load.Result) {
	t.Helper()
	p := load.Plan{
		Seed: 1, Loop: load.LoopOpen, Arrivals: load.ArrivalsPoisson, InFlight: 500,
		Duration: model.Duration(load.MaxDuration), Requests: load.MaxRequests, Classes: classes,
	}
	arm := load.Arm{Name: load.ArmMesh}
	for _, m := range entries {
		arm.Addresses = append(arm.Addresses, m.CallerAddr())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var result load.Result
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		result, err = load.Run(ctx, p, []load.Arm{arm})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func() load.Result {
		cancel()
		<-done
		must.NoError(t, err)
		var addrs []string
		for _, m := range backends {
			addrs = append(addrs, m.BackendAddr())
		}
		all, err := load.ReadRuns(context.Background(), addrs)
		must.NoError(t, err)
		result.CheckRuns(all)
		for _, c := range result.Cells {
			t.Logf("%s: %d sent, %v, %v", c.Class, c.Sent, c.Labels, c.Reasons)
		}
		must.MapEmpty(t, result.Violations, must.Sprint(result.Examples))
		return result
	}
}

// screens are reads that a caller may repeat; bookings may run once at most.
func screens(rate float64) load.Class {
	return load.Class{
		Organisation: organisation, Name: "screens", Host: host, Method: http.MethodGet, Path: "/rooms/{n}",
		Spread: 100, Rate: rate, Retries: 3, Deadline: model.Duration(2 * time.Second),
	}
}

func bookings(rate float64) load.Class {
	return load.Class{
		Organisation: organisation, Name: "bookings", Host: host, Method: http.MethodPost, Path: "/bookings/{n}",
		Spread: 100, Rate: rate, Body: 200, Keyed: true, Repeats: 0.5, Retries: 3, Deadline: model.Duration(4 * time.Second),
	}
}
