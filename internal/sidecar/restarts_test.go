package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Guards against requests that are sent on connections to a process that is gone: a host that has lost
// power and started again resets them, and whether they have run isn't known.
func TestConnectionsToAFormerStartAreNotUsed(t *testing.T) {
	var remotes []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		remotes = append(remotes, r.RemoteAddr)
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := forward.NewClient(forward.DefaultClientConfig())
	r := restarts{closeIdle: client.CloseIdle}
	table := endpoint.NewTable()
	for _, incarnation := range []uint64{1, 1, 2} {
		table.Put(endpoint.Record{Node: "a", GateAddr: addr, Incarnation: incarnation})
		record, _ := table.Get("a")
		r.observe(&record)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		resp, err := client.RoundTrip(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	must.Eq(t, remotes[0], remotes[1])
	must.NotEq(t, remotes[1], remotes[2])
	r.forget(endpoint.NewTable())
	must.MapEmpty(t, r.incarnations)
}
