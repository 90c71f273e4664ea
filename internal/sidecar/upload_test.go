package sidecar

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// uploadFleet starts nodes with a route for uploads and one for each kind of faulty route.
func uploadFleet(t *testing.T, n int, regions ...string) *fleet {
	f := newEmptyFleet(t, 1)
	f.adapt = func(s *Settings) { s.Region = model.Region("r" + strings.TrimPrefix(string(s.Zone), "z")) }
	f.store.Put("op", "config", platformtest.Config("r1", []string{"booking"},
		platformtest.Route{Host: host, Prefix: "/upload/", Kind: platformtest.Upload, Service: "booking", Attempts: 2, Regions: regions},
		platformtest.Route{Host: host, Prefix: "/status/", Kind: platformtest.Idempotent, Service: "booking", Attempts: 2, Regions: regions},
		platformtest.Route{Host: host, Prefix: "/later/", Kind: "of_a_newer_platform", Service: "booking", Attempts: 2},
		platformtest.Route{Host: host, Prefix: "/faulty/", Kind: platformtest.Idempotent, Service: "unknown", Attempts: 2},
	))
	f.startAll(n)
	f.beat()
	f.knowAll()
	return f
}

// A route of an unknown kind, or one that can't be used, must not make nodes refuse the whole
// configuration.
func TestFaultyRoutesLeaveTheOthersInForce(t *testing.T) {
	f := uploadFleet(t, 2)
	for path, want := range map[string]int{
		"/status/x": http.StatusOK, "/later/x": http.StatusOK, "/faulty/x": http.StatusServiceUnavailable, "/none/x": http.StatusNotFound,
	} {
		resp, _ := f.do(f.nodes[0], "GET", path, "")
		must.Eq(t, want, resp.StatusCode, must.Sprint(path))
	}
	must.StrContains(t, f.nodes[0].logs.String(), "config_fault")
}

// A large body arrives complete and is sent only once.
func TestUploadArrivesWholeAndRunsOnce(t *testing.T) {
	f := uploadFleet(t, 4)
	body := strings.Repeat("video", 200<<10/5)
	for i := range 8 {
		resp, _ := f.do(f.nodes[i%4], "POST", "/upload/x", body)
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	seen := f.seen()
	must.Len(t, 8, seen)
	for _, s := range seen {
		must.Eq(t, len(body), len(s.Body))
		must.Eq(t, "", s.Headers.Get("Expect"), must.Sprint("the Expect header of nodes must not reach backend servers"))
	}
	for _, m := range f.nodes {
		m.backend.Answer = func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	}
	resp, _ := f.do(f.nodes[0], "POST", "/upload/x", body)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Len(t, 9, f.seen())
}

// A gate must refuse an upload before the body is sent: a body that is partly consumed couldn't
// be sent to another backend server.
func TestUploadIsRefusedBeforeItsBody(t *testing.T) {
	f := uploadFleet(t, 3)
	for _, m := range f.nodes[:2] {
		m.node.pub.withdrawn.Store(true)
		m.node.backends.replaced(m.node.pub.instance.Load().Key())
	}
	view := f.nodes[2].node.pub.view.Load()
	f.waitForServers(1)
	f.nodes[0].node.pub.view.Store(view) // a stale view that still has the withdrawn servers
	f.nodes[1].node.pub.view.Store(view)
	body := strings.Repeat("video", 900<<10/5)
	for i := range 6 {
		resp, _ := f.do(f.nodes[i%2], "POST", "/upload/x", body)
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Len(t, 6, f.nodes[2].backend.Seen())
}

// A request confined to regions is never sent to a backend server outside of them.
func TestRequestsStayInTheirRegions(t *testing.T) {
	f := uploadFleet(t, 4, "r1")
	for i := range 20 {
		resp, _ := f.do(f.nodes[i%4], "GET", "/status/x", "")
		must.Eq(t, http.StatusOK, resp.StatusCode)
		resp, _ = f.do(f.nodes[i%4], "POST", "/upload/x", strings.Repeat("x", 100<<10))
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
	must.Eq(t, 0, f.requestsInZone(0))
	must.Eq(t, 40, f.requestsInZone(1))
}

func TestRequestWithoutAServerInItsRegionsIsRefusedAtOnce(t *testing.T) {
	f := uploadFleet(t, 2, "elsewhere")
	resp, _ := f.do(f.nodes[0], "GET", "/status/x", "")
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	must.StrContains(t, f.nodes[0].logs.String(), "reason=no-region")
	must.Len(t, 0, f.seen())
}
