package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/gate"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

const testHost = "screens.example"

func testSnapshot(t testing.TB, service model.Service, class model.Class) *snapshot.Snapshot {
	t.Helper()
	class.Name, service.Name = "main", "rooms"
	if class.Deadline == 0 {
		class.Deadline = model.Duration(5 * time.Second)
	}
	c := &model.Contract{
		Organisation: "signage", Hosts: []string{testHost}, HandledBy: model.SystemMesh,
		Classes: []model.Class{class},
		Routes: []model.Route{
			{Name: "older", PathPrefix: "/older", Service: "rooms", Class: "main", HandledBy: model.SystemOlder},
			{Name: "all", PathPrefix: "/", Service: "rooms", Class: "main"},
		},
	}
	s, err := snapshot.Build(1,
		map[string]*snapshot.ContractEntry{"signage": {Revision: 1, Contract: c}},
		map[string]*snapshot.ServiceEntry{"rooms": {Revision: 1, Service: &service}})
	must.NoError(t, err)
	must.NoError(t, s.CheckConsistency())
	return s
}

// testBed consists of one backend server, its gate and one entry proxy, all in this
// process.
type testBed struct {
	service model.Service
	class   model.Class
	work    http.Handler // the backend server's handler; nil if addr is set by the test
	// addr is the backend server's address.
	addr string
	// crashed is called by the gate for each crash of the backend server.
	crashed  func(suspect.Crash, []suspect.Fingerprint)
	cfg      Config
	snap     atomic.Pointer[snapshot.Snapshot]
	view     atomic.Pointer[endpoint.View]
	registry *local.Registry
	gate     *gate.Gate
	gateURL  string
	proxy    *Proxy
	url      string
	client   *http.Client
}

func newTestBed() *testBed {
	return &testBed{
		service: model.Service{QueueLength: 8},
		class:   model.Class{Kind: model.KindInteractive},
		work:    backend.New(backend.Config{Slots: 200}),
		cfg:     DefaultConfig(),
	}
}

// start starts the backend server, the gate and the entry proxy.
func (b *testBed) start(t testing.TB) *testBed {
	t.Helper()
	if b.work != nil {
		server := httptest.NewServer(b.work)
		t.Cleanup(server.Close)
		b.addr = strings.TrimPrefix(server.URL, "http://")
	}
	b.snap.Store(testSnapshot(t, b.service, b.class))
	b.registry = local.New(local.DefaultConfig())
	b.gate = gate.New(gate.Config{
		Self: "host-1", Announcement: b.registry.Current,
		Suspects: b.cfg.Suspects, Crashed: b.crashed, ResponseExtension: b.cfg.ResponseExtension,
		Service: func(name string) *model.Service {
			if e := b.snap.Load().Service(name); e != nil {
				return e.Service
			}
			return nil
		},
	})
	b.registry.OnChange(func(local.Announcement) { b.gate.Update() })
	must.NoError(t, b.registry.Announce(local.Announcement{
		Service: "rooms", Addr: b.addr, Slots: 200, Connections: 200,
	}))
	gateServer := httptest.NewServer(b.gate)
	t.Cleanup(gateServer.Close)
	b.gateURL = gateServer.URL
	b.serveBy("host-1")
	b.startProxy(t)
	return b
}

// serveBy publishes an endpoint for each of the given nodes, all at the same gate.
func (b *testBed) serveBy(nodes ...model.NodeID) {
	table := endpoint.NewTable()
	for _, n := range nodes {
		table.Put(endpoint.Record{Node: n, Service: "rooms", GateAddr: strings.TrimPrefix(b.gateURL, "http://")})
	}
	b.view.Store(table.View())
}

func (b *testBed) startProxy(t testing.TB) {
	cfg := b.cfg
	cfg.Snapshot, cfg.View = b.snap.Load, b.view.Load
	cfg.Ready = func() bool { return true }
	b.proxy = New(cfg)
	server := httptest.NewServer(b.proxy)
	t.Cleanup(server.Close)
	b.url = server.URL
	b.client = server.Client()
}

func (b *testBed) request(t testing.TB, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Host = testHost
	return r
}
