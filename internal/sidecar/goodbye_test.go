package sidecar

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// Guards against a goodbye that the store never notes because it was away at the moment.
func TestGoodbyeIsRecordedOnceTheStoreIsBack(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	must.NoError(t, f.nodes[0].backend.Leave(f.nodes[0].node.set.Listen.Backend))
	must.Nil(t, f.store.Row("nodes", "drain/node-0"))
	f.store.SetDown(false)
	f.eventually("the goodbye is recorded", func() bool {
		return string(f.store.Row("nodes", "drain/node-0")) == "i-0"
	})
}

// Guards against a node that starts again without the store, is called by its peers and takes a late
// heartbeat for that of a live backend server.
func TestGoodbyeOutlastsANodeThatKnowsNobodyAfterItsStart(t *testing.T) {
	f := newFleet(t, 2) // in two zones: the node with the lower key calls the other one
	called, calling := 0, 1
	if f.nodes[0].node.set.Node.Key() < f.nodes[1].node.set.Node.Key() {
		called, calling = 1, 0
	}
	leaving := f.nodes[called]
	f.store.SetDown(true)
	must.NoError(t, leaving.backend.Leave(leaving.node.set.Listen.Backend))
	f.eventually("the other one knows", func() bool {
		return len(f.nodes[calling].node.pub.view.Load().Service("booking")) == 1
	})
	f.restart(called)
	f.eventually("the node learns of the goodbye", func() bool {
		return strings.Contains(leaving.logs.String(), "event=backend_drained_before")
	})
	must.NoError(t, leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, false))
	must.Nil(t, leaving.node.pub.instance.Load(), must.Sprint("the late heartbeat doesn't bring it back"))
}

// A node that calls another one must not end a drain that is under way there.
func TestCallOfAPeerDoesNotEndADrain(t *testing.T) {
	f := newFleet(t, 2)
	draining := f.nodes[0]
	must.NoError(t, draining.backend.Beat(draining.node.set.Listen.Backend, draining.addr, true))
	f.eventually("the other one knows", func() bool {
		return len(f.nodes[1].node.pub.view.Load().Service("booking")) == 1
	})
	h := f.nodes[1].node.loop.hello(t.Context(), draining.node.set.Node)
	must.True(t, h.Drained)
	must.Eq(t, draining.node.loop.self.Incarnation, h.DrainedIncarnation)
	f.nodes[1].node.links.Disconnect(draining.node.set.Node)
	f.eventually("they are linked again", func() bool {
		l := f.nodes[1].node.loop
		linked, _ := eventqueue.Ask(t.Context(), l.queue, func() bool { return len(l.member.Neighbours()) == 1 })
		return linked
	})
	must.NotNil(t, draining.node.pub.instance.Load())
}

// Guards against a node that was away for so long that its peers call it by its address alone, and
// that is not told of the goodbye before it.
func TestGoodbyeOutlastsANodeThatItsPeersHoldForFailed(t *testing.T) {
	f := newFleet(t, 4)
	leaving, neighbour := f.nodes[0], f.nodes[2]
	f.store.SetDown(true)
	must.NoError(t, leaving.backend.Leave(leaving.node.set.Listen.Backend))
	leaving.node.close()
	f.eventually("the neighbour holds it for failed", func() bool {
		failed, _ := eventqueue.Ask(t.Context(), neighbour.node.loop.queue, func() bool {
			r, _ := neighbour.node.loop.member.Table().Get(leaving.node.set.Node)
			return r.Status == endpoint.StatusFailed
		})
		return failed
	})
	f.restart(0)
	f.eventually("the node has the configuration", leaving.node.ready)
	must.NoError(t, leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, false))
	f.store.SetDown(false)
	f.eventually("the node has read the store's list", func() bool {
		_, since, _ := strings.Cut(leaving.logs.String(), "event=backend_left")
		return strings.Contains(since, "event=nodes_read")
	})
	time.Sleep(time.Second) // it offers what it has heard
	must.Nil(t, leaving.node.pub.instance.Load(), must.Sprint("the late heartbeat doesn't bring it back"))
	before := len(leaving.backend.Seen())
	for range 20 {
		resp, _ := f.do(leaving, "GET", "/status/x", "")
		must.Eq(t, 200, resp.StatusCode)
	}
	must.Eq(t, before, len(leaving.backend.Seen()))
	f.eventually("the store has it, should the peers end", func() bool {
		return string(f.store.Row("nodes", "drain/node-0")) == "i-0"
	})
}

// Guards against a backend server that is offered before its node could be told that it had left.
func TestBackendServerIsNotOfferedBeforeAnybodyCouldBeAsked(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	f.store.SetDown(true)
	f.restart(0)
	must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	must.Nil(t, m.node.pub.instance.Load())
	f.store.SetDown(false)
	f.eventually("it is offered once the store has been read", func() bool { return m.node.pub.instance.Load() != nil })
	must.StrContains(t, m.logs.String(), "event=nodes_read")
}

// Guards against a goodbye that is acknowledged though nobody but its node knows of it.
func TestGoodbyeThatNobodyElseRemembersIsNotAcknowledged(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	f.store.SetDown(true)
	must.Error(t, m.backend.Leave(m.node.set.Listen.Backend))
	must.StrContains(t, m.logs.String(), "event=drain_not_kept")
	must.Error(t, m.backend.Leave(m.node.set.Listen.Backend), must.Sprint("nor when it is said again"))
	f.store.SetDown(false)
	f.eventually("it is acknowledged once the store has it", func() bool {
		return m.backend.Leave(m.node.set.Listen.Backend) == nil
	})
	must.Eq(t, "i-0", string(f.store.Row("nodes", "drain/node-0")))
}

// The same for a heartbeat that says so.
func TestDrainThatNobodyElseRemembersIsNotAcknowledged(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	f.store.SetDown(true)
	must.Error(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, true))
	must.Error(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, true))
	f.store.SetDown(false)
	f.eventually("it is acknowledged once the store has it", func() bool {
		return m.backend.Beat(m.node.set.Listen.Backend, m.addr, true) == nil
	})
}

// Guards against an acknowledgement that needs the store where a peer remembers the goodbye.
func TestGoodbyeIsAcknowledgedWithoutTheStoreOnceAPeerRemembersIt(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	must.NoError(t, f.nodes[0].backend.Leave(f.nodes[0].node.set.Listen.Backend))
	l := f.nodes[1].node.loop
	known, _ := eventqueue.Ask(t.Context(), l.queue, func() bool { return l.departed.Has("i-0") })
	must.True(t, known)
}
