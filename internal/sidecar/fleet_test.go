package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fleet is a few nodes with a backend server each, and the platform's store.
type fleet struct {
	t     testing.TB
	store *platformtest.Store
	// storeAddr is where the store serves.
	storeAddr string
	nodes     []*site
	// adapt changes the settings of nodes that are started; nil changes none.
	adapt func(*Settings)
}

// site is one node and the backend server beside it.
type site struct {
	node    *Node
	backend *platformtest.Backend
	addr    string // of the backend server
	ended   chan error
	logs    *lines
}

// lines collects log lines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// anyAddr is an address whose port the kernel chooses.
const anyAddr = "127.0.0.1:0"

const host = "rooms.example"

func routes(version string) []byte {
	return platformtest.Config(version, []string{"booking"}, routesFree("")...)
}

// routesFree returns the routes of these tests, of which the one with a prefix needs no key.
func routesFree(prefix string) []platformtest.Route {
	all := []platformtest.Route{
		{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking", Attempts: 2},
		{Host: host, Prefix: "/book/", Kind: platformtest.NonIdempotent, Service: "booking", Attempts: 2},
		{Host: host, Prefix: "/firmware/", Kind: platformtest.Download, Service: "booking", Attempts: 2},
	}
	for i := range all {
		all[i].Anonymous = all[i].Prefix == prefix
	}
	return all
}

// newFleet starts nodes and waits until each knows every backend server.
func newFleet(t testing.TB, n int) *fleet {
	f := newSilentFleet(t, n)
	f.beat()
	f.knowAll()
	return f
}

// newAdaptedFleet is newFleet with changed settings.
func newAdaptedFleet(t testing.TB, n int, adapt func(*Settings)) *fleet {
	f := newEmptyFleet(t, 1)
	f.adapt = adapt
	f.startAll(n)
	f.beat()
	f.knowAll()
	return f
}

// newSilentFleet starts nodes whose backend servers have not said anything yet.
func newSilentFleet(t testing.TB, n int) *fleet { return newSilentFleetOn(t, n, 1) }

// newSilentFleetOn starts them with a store that tells an era; 0 doesn't tell.
func newSilentFleetOn(t testing.TB, n int, era uint64) *fleet {
	f := newEmptyFleet(t, era)
	f.startAll(n)
	return f
}

// newEmptyFleet starts a store that tells an era.
func newEmptyFleet(t testing.TB, era uint64) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore()}
	f.store.TellEra(era)
	f.store.Put("op", "config", routes("r1"))
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.storeAddr = server.Listener.Addr().String()
	return f
}

// startAll starts nodes.
func (f *fleet) startAll(n int) {
	for i := range n {
		f.nodes = append(f.nodes, f.start(i, f.storeAddr))
	}
}

// knowAll waits until each node knows every backend server.
func (f *fleet) knowAll() {
	n := len(f.nodes)
	f.eventually("every node knows every backend server", func() bool {
		for _, m := range f.nodes {
			v := m.node.pub.view.Load()
			if !m.node.ready() || v == nil || len(v.Service("booking")) != n {
				return false
			}
		}
		return true
	})
}

// waitForServers waits until each node is ready and can send to the given number of backend
// servers.
func (f *fleet) waitForServers(servers int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%d backend servers are used", servers), func() bool {
		for _, m := range f.nodes {
			v := m.node.pub.view.Load()
			if !m.node.ready() || v == nil || len(v.Service("booking")) != servers {
				return false
			}
		}
		return true
	})
}

// requestsInZone returns how many requests the backend servers of a zone got. Even nodes are in
// z0, odd ones in z1.
func (f *fleet) requestsInZone(zone int) int {
	n := 0
	for i, m := range f.nodes {
		if i%2 == zone {
			n += len(m.backend.Seen())
		}
	}
	return n
}

func (f *fleet) start(i int, store string) *site {
	m := &site{
		backend: &platformtest.Backend{ID: fmt.Sprintf("i-%d", i), Service: "booking", Slots: 4},
		ended:   make(chan error, 1),
		logs:    new(lines),
	}
	server := httptest.NewServer(m.backend)
	f.t.Cleanup(server.CloseClientConnections)
	f.t.Cleanup(server.Close)
	m.addr = server.Listener.Addr().String()
	set := &Settings{
		Node: model.NodeID(fmt.Sprintf("node-%d", i)), Zone: model.Zone(fmt.Sprintf("z%d", i%2)), Region: "r",
		Service: "booking", Store: store, FirstStart: true,
		Listen: Listen{
			Callers: anyAddr, Gate: anyAddr, Ready: anyAddr, Backend: anyAddr, Peers: anyAddr, Metrics: anyAddr,
		},
		HeartbeatMillis: 60_000, MemoryMB: 100, LinkMbps: 1000, DrainMillis: 1000, GraceSeconds: 6,
		Retry: RetrySettings{Ratio: 0.2, WindowSeconds: 10, Slack: 100},
	}
	if f.adapt != nil {
		f.adapt(set)
	}
	must.NoError(f.t, set.check())
	logger := log.NewLogfmtLogger(log.NewSyncWriter(m.logs))
	node, err := New(set, "no file", logsTo(logger))
	must.NoError(f.t, err)
	m.node = node
	go func() { m.ended <- node.Run(new(signals.Signals)) }()
	f.t.Cleanup(func() {
		node.close()
	})
	return m
}

// logsTo returns logs that all go to one logger.
func logsTo(l log.Logger) Logs {
	return Logs{Lines: l, Details: l, State: l, Dropped: func() uint64 { return 0 }}
}

// beat lets every backend server say that it is there.
func (f *fleet) beat() {
	for _, m := range f.nodes {
		must.NoError(f.t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	}
}

func (f *fleet) eventually(what string, cond func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

// do sends a request to a node as a caller does.
func (f *fleet) do(m *site, method, path, body string, more ...string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+m.node.set.Listen.Callers+path, strings.NewReader(body))
	must.NoError(f.t, err)
	req.Host = host
	req.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("%s %s %d", method, path, time.Now().UnixNano()))
	req.Header.Set(platformtest.HeaderWait, "4000")
	for i := 0; i < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return resp, string(b)
}

// seen returns all requests that reached backend servers.
func (f *fleet) seen() []platformtest.Seen {
	var all []platformtest.Seen
	for _, m := range f.nodes {
		all = append(all, m.backend.Seen()...)
	}
	return all
}

func TestRequestReachesABackendServerUnchanged(t *testing.T) {
	f := newFleet(t, 3)
	resp, body := f.do(f.nodes[0], "POST", "/book/a%2Fb?x=1&y", "two rooms", "X-Own", "kept", platformtest.HeaderCaller, "forged", "Jacinthgate-Kind", "forged")
	must.Eq(t, 200, resp.StatusCode)
	must.True(t, platformtest.Stamped(resp.Header))
	must.StrContains(t, body, "ran /book/a%2Fb?x=1&y")
	must.Len(t, 1, f.seen())
	got := f.seen()[0]
	must.Eq(t, "POST two rooms booking", got.Method+" "+got.Body+" "+got.Caller)
	must.Eq(t, "kept", got.Headers.Get("X-Own"))
	must.Between(t, 1, got.LeftMillis, 2000, must.Sprint("the route's timeout is shorter than the caller's"))
	for name := range got.Headers {
		must.False(t, strings.HasPrefix(name, "Jacinthgate-"), must.Sprint(name))
	}
	for name := range resp.Header {
		must.False(t, strings.HasPrefix(name, "Jacinthgate-"), must.Sprint(name))
	}
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	f := newFleet(t, 1)
	resp, _ := f.do(f.nodes[0], "GET", "/nothing/", "")
	must.Eq(t, 404, resp.StatusCode)
	must.Len(t, 0, f.seen())
}

func TestNewConfigurationIsInForceOnEveryNode(t *testing.T) {
	f := newFleet(t, 4)
	f.store.Put("op", "config", platformtest.Config("r7", []string{"booking"},
		platformtest.Route{Host: host, Prefix: "/new/", Kind: platformtest.Idempotent, Service: "booking"}))
	f.eventually("version 7 everywhere", func() bool {
		for _, m := range f.nodes {
			if m.node.pub.table.Load().Version() != 7 {
				return false
			}
		}
		return true
	})
	resp, _ := f.do(f.nodes[3], "GET", "/new/x", "")
	must.Eq(t, 200, resp.StatusCode)
	f.store.Put("op", "config", []byte(`{"version":"r9","routes":{"columns":["name"],"rows":[["x"]]}}`))
	f.eventually("version 9 is refused", func() bool {
		return strings.Contains(f.nodes[0].logs.String(), "config_refused")
	})
	must.Eq(t, 7, f.nodes[0].node.pub.table.Load().Version())
}

func TestConfigurationIsReadAgainAfterTheHistoryIsLost(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	f.store.Put("op", "config", routes("r5"))
	f.store.Compact()
	f.store.SetDown(false)
	f.eventually("version 5 everywhere", func() bool {
		return f.nodes[0].node.pub.table.Load().Version() == 5 && f.nodes[1].node.pub.table.Load().Version() == 5
	})
}

func TestNobodySendsToALeavingBackendServer(t *testing.T) {
	for name, leave := range map[string]func(*site) error{
		"draining": func(m *site) error { return m.backend.Beat(m.node.set.Listen.Backend, m.addr, true) },
		"goodbye":  func(m *site) error { return m.backend.Leave(m.node.set.Listen.Backend) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			must.NoError(t, leave(f.nodes[0]))
			must.Eq(t, "i-0", string(f.store.Row("nodes", "drain/node-0")))
			// A late heartbeat from before must not bring it back.
			f.nodes[0].backend.ID = "i-0"
			f.eventually("the other node knows", func() bool {
				return len(f.nodes[1].node.pub.view.Load().Service("booking")) == 1
			})
			time.Sleep(f.nodes[0].node.set.drain() / drainPart)
			before := len(f.nodes[0].backend.Seen())
			for range 20 {
				resp, _ := f.do(f.nodes[0], "GET", "/status/x", "")
				must.Eq(t, 200, resp.StatusCode)
			}
			must.Eq(t, before, len(f.nodes[0].backend.Seen()))
		})
	}
}

func TestRequestThatMayNotRunAgainIsSentOnce(t *testing.T) {
	f := newFleet(t, 3)
	for _, m := range f.nodes {
		m.backend.Answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	}
	resp, _ := f.do(f.nodes[0], "POST", "/book/x", "one room")
	must.Eq(t, 502, resp.StatusCode)
	must.Len(t, 1, f.seen())
	resp, _ = f.do(f.nodes[0], "GET", "/status/x", "")
	must.Eq(t, 502, resp.StatusCode)
	must.Len(t, 3, f.seen(), must.Sprint("two attempts of the second request"))
}

func TestRefusalByTheBackendServerIsAPromiseAndTriedElsewhere(t *testing.T) {
	f := newFleet(t, 2)
	f.nodes[0].backend.Answer, f.nodes[1].backend.Answer = platformtest.Shed, platformtest.Shed
	resp, _ := f.do(f.nodes[0], "POST", "/book/x", "one room")
	must.Eq(t, 503, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.Len(t, 2, f.seen())
	f.nodes[1].backend.Answer = nil
	f.eventually("the other one serves", func() bool {
		resp, _ := f.do(f.nodes[0], "POST", "/book/x", "one room")
		return resp.StatusCode == 200
	})
}

func TestWrongAnswersAreNotPassedOn(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"no signature": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "not mine") },
		"another's encoding": func(w http.ResponseWriter, _ *http.Request) {
			platformtest.Stamp(w)
			w.Header().Set("Content-Encoding", "x")
		},
		"short": func(w http.ResponseWriter, _ *http.Request) {
			platformtest.Stamp(w)
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.nodes[0].backend.Answer = answer
			resp, _ := f.do(f.nodes[0], "GET", "/status/x", "")
			must.Eq(t, 502, resp.StatusCode)
		})
	}
}

func TestAddressUsedAgainIsFoundOut(t *testing.T) {
	f := newFleet(t, 2)
	f.nodes[0].backend.ID = "i-new" // another start, not yet announced
	for range 20 {
		resp, body := f.do(f.nodes[0], "GET", "/status/x", "")
		must.Eq(t, 200, resp.StatusCode)
		must.StrContains(t, body, "i-1 ran")
	}
}

func TestSlotsAreKept(t *testing.T) {
	f := newFleet(t, 2)
	for _, m := range f.nodes {
		m.backend.Work = 20 * time.Millisecond
	}
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			req, err := http.NewRequest("GET", "http://"+f.nodes[0].node.set.Listen.Callers+"/status/x", nil)
			if err != nil {
				return
			}
			req.Host = host
			if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	for _, m := range f.nodes {
		must.LessEq(t, m.backend.Slots, m.backend.Most())
	}
}

func TestServiceGoesOnWithoutTheStore(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for range 5 {
		resp, _ := f.do(f.nodes[1], "GET", "/status/x", "")
		must.Eq(t, 200, resp.StatusCode)
	}
	must.NoError(t, f.nodes[0].backend.Beat(f.nodes[0].node.set.Listen.Backend, f.nodes[0].addr, true),
		must.Sprint("a goodbye is acknowledged without the store"))
}

func TestLargeAnswersArriveWhole(t *testing.T) {
	f := newFleet(t, 2)
	large := strings.Repeat("x", 300<<10)
	for _, m := range f.nodes {
		m.backend.Answer = func(w http.ResponseWriter, _ *http.Request) {
			platformtest.Stamp(w)
			w.Header().Set("Content-Length", fmt.Sprint(len(large)))
			_, _ = io.WriteString(w, large)
		}
	}
	for range 6 {
		resp, body := f.do(f.nodes[0], "GET", "/firmware/x", "")
		must.Eq(t, 200, resp.StatusCode)
		must.True(t, body == large)
	}
}

func TestLeavingNodeFinishesItsRequests(t *testing.T) {
	f := newFleet(t, 2)
	m := f.nodes[0]
	m.backend.Work, f.nodes[1].backend.Work = 300*time.Millisecond, 300*time.Millisecond
	results := make(chan int, 8)
	for range cap(results) {
		go func() {
			req, err := http.NewRequest("GET", "http://"+m.node.set.Listen.Callers+"/status/x", nil)
			if err != nil {
				results <- 0
				return
			}
			req.Host = host
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				results <- 0
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // the status counts
			results <- resp.StatusCode
		}()
	}
	f.eventually("requests run", func() bool { return len(f.seen()) == cap(results) })
	go m.node.shutdown(syscall.SIGTERM)
	for range cap(results) {
		must.Eq(t, 200, <-results)
	}
	f.eventually("nobody sends to the host any more", func() bool {
		return len(f.nodes[1].node.pub.view.Load().Service("booking")) == 1
	})
	must.False(t, m.node.ready())
}

func TestBadInputLeavesTheNodeRunning(t *testing.T) {
	f := newFleet(t, 1)
	set := f.nodes[0].node.set.Listen
	for _, addr := range []string{set.Callers, set.Gate, set.Ready, set.Backend, set.Peers, set.Metrics} {
		c, err := net.Dial("tcp", addr)
		must.NoError(t, err)
		_, _ = c.Write([]byte("\xff\xff\xff\xff garbage \r\n\r\n\x00")) // the node may close it first
		must.NoError(t, c.Close())
	}
	resp, err := http.Post("http://"+set.Backend+"/api/instances/x/heartbeat", "application/json", strings.NewReader("{"))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 400, resp.StatusCode)
	got, _ := f.do(f.nodes[0], "GET", "/status/x", "")
	must.Eq(t, 200, got.StatusCode)
}

// On the incidents of both sites, most refusals of overloaded backend servers
// were logged as "deadline" or "no-endpoint".
func TestRefusalTellsItsReason(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	hold := make(chan struct{})
	m.backend.Answer = func(w http.ResponseWriter, _ *http.Request) {
		<-hold
		platformtest.Stamp(w)
	}
	var wg sync.WaitGroup
	for range m.backend.Slots {
		wg.Go(func() { f.do(m, "GET", "/status/x", "") })
	}
	f.eventually("all slots are in use", func() bool { return len(m.backend.Seen()) == m.backend.Slots })
	resp, _ := f.do(m, "GET", "/status/y", "")
	must.Eq(t, 503, resp.StatusCode)
	close(hold)
	wg.Wait()
	must.StrContains(t, m.logs.String(), "status=503 reason=queue-full")
}

func TestAnswersWithoutABody(t *testing.T) {
	f := newFleet(t, 2)
	for _, path := range []string{"/status/x", "/firmware/x"} {
		for range 4 { // on this host and on the other one
			resp, body := f.do(f.nodes[0], "HEAD", path, "")
			must.Eq(t, 200, resp.StatusCode, must.Sprint(path))
			must.Eq(t, "", body)
			must.Positive(t, resp.ContentLength)
		}
	}
}

func TestLoopNeverWaitsForItself(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	l := m.node.loop
	stop := make(chan struct{})
	eventqueue.Ask(m.node.ctx, l.queue, func() bool {
		for len(l.queue.Events) < cap(l.queue.Events) {
			l.queue.Events <- core.Tick{}
		}
		// With its queue full, the loop learns that the backend server is gone.
		l.step(core.PeerUp{Record: l.self, Drained: true, DrainedInstance: m.backend.ID})
		close(stop)
		return true
	})
	<-stop
	f.eventually("the backend server is withdrawn", func() bool {
		return len(m.node.pub.view.Load().Service("booking")) == 0
	})
}

// A node that leaves takes no more callers at once, but its backend server works
// on for the callers of other hosts until shortly before the node ends.
func TestLeavingNodeOffersItsBackendServerForAWhile(t *testing.T) {
	f := newFleet(t, 2)
	m, other := f.nodes[0], f.nodes[1]
	go m.node.shutdown(syscall.SIGTERM)
	f.eventually("it takes no more callers", func() bool { return !m.node.ready() })
	unready := func() bool {
		is, ran := eventqueue.Ask(t.Context(), m.node.loop.queue, func() bool { return m.node.loop.member.Self().Unready })
		must.True(t, ran)
		return is
	}
	must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	must.False(t, unready())
	f.eventually("the fleet knows that it is gone", func() bool {
		return len(other.node.pub.view.Load().Service("booking")) == 1
	})
	must.True(t, m.node.pub.withdrawn.Load())
	resp, _ := f.do(other, "GET", "/status/x", "")
	must.Eq(t, 200, resp.StatusCode)
}
