package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
)

// shortHeartbeat is the interval of heartbeats in the tests below.
const shortHeartbeat = 100 * time.Millisecond

// Guards against a goodbye that is forgotten because all nodes are killed before the store is back, and
// against backend servers in service that stay unused then.
func TestGoodbyeIsKeptThoughAllNodesAreKilled(t *testing.T) {
	for name, health := range map[string]http.HandlerFunc{
		"health checks name the instance": nil,
		"health checks name nobody":       func(http.ResponseWriter, *http.Request) {},
		"health checks fail":              func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newAdaptedFleet(t, 3, func(s *Settings) { s.HeartbeatMillis = int(shortHeartbeat / time.Millisecond) })
			leaving := f.nodes[0]
			for _, m := range f.nodes {
				m.backend.Health = health
			}
			f.store.SetDown(true)
			must.NoError(t, leaving.backend.Leave(leaving.node.set.Listen.Backend))
			for _, m := range f.nodes {
				m.node.close()
			}
			before := len(leaving.backend.Seen())
			for i := range f.nodes {
				f.restart(i)
			}
			f.store.SetDown(false)
			for range 2 {
				must.NoError(t, leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, false))
				time.Sleep(shortHeartbeat)
			}
			f.eventually("the node has asked the store and its peers", func() bool {
				return leaving.node.ready() && leaving.node.settled()
			})
			f.eventually("the others are used", func() bool {
				for _, m := range f.nodes[1:] {
					must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
				}
				time.Sleep(shortHeartbeat)
				must.Nil(t, leaving.node.pub.instance.Load(), must.Sprint("late heartbeats don't bring it back"))
				return f.offered(1, 2)
			})
			for range 20 {
				resp, _ := f.do(leaving, "GET", "/status/x", "")
				must.Eq(t, 200, resp.StatusCode)
			}
			must.Eq(t, before, len(leaving.backend.Seen()))
			if health == nil {
				must.Eq(t, 1, f.nodes[1].backend.Checks(), must.Sprint("one health check is enough"))
			}
		})
	}
}

// settled reports whether the node has asked the store and its peers for departures.
func (n *Node) settled() bool {
	settled, _ := eventqueue.Ask(n.ctx, n.loop.queue, func() bool { return n.loop.departed.Settled() })
	return settled
}

// offered reports whether the first node sends to exactly those beside the given nodes.
func (f *fleet) offered(nodes ...int) bool {
	for _, i := range nodes {
		if f.nodes[i].node.pub.instance.Load() == nil {
			return false
		}
	}
	v := f.nodes[0].node.pub.view.Load()
	return f.nodes[0].node.ready() && v != nil && len(v.Service("booking")) == len(nodes)
}

// linkAll waits until each node is linked to all others.
func (f *fleet) linkAll() {
	f.eventually("each node is linked to all others", func() bool {
		for _, m := range f.nodes {
			linked, _ := eventqueue.Ask(f.t.Context(), m.node.loop.queue, func() int { return len(m.node.loop.member.Neighbours()) })
			if linked < len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

// Guards against health checks where a peer remembers all departures.
func TestNodeThatAPeerRemembersNeedsNoHealthCheck(t *testing.T) {
	f := newAdaptedFleet(t, 3, func(s *Settings) { s.Zone = "z" })
	f.linkAll() // else its end leaves the others alone, and they remember nothing
	m := f.nodes[0]
	f.restart(0)
	must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	f.knowAll()
	must.Zero(t, m.backend.Checks())
}
