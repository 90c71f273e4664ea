package sidecar

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
)

// A backend server that starts again under its identifier counts its heartbeats anew.
// They were taken for late ones of its former start: after a crash it was dropped as
// silent and stayed unused for good, and one that had drained stayed out.
func TestBackendServerThatReturnsUnderItsIdentifierIsUsed(t *testing.T) {
	for name, end := range map[string]func(*site) error{
		"after a crash":   func(*site) error { return nil },
		"after a drain":   func(m *site) error { return m.backend.Beat(m.node.set.Listen.Backend, m.addr, true) },
		"after a goodbye": func(m *site) error { return m.backend.Leave(m.node.set.Listen.Backend) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			m, other := f.nodes[0], f.nodes[1]
			m.backend.Born = 1_000_000
			for range 5 {
				must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
			}
			must.NoError(t, end(m))
			m.node.backends.unreachable(m.node.pub.instance.Load().ID)

			again := m.backend.Again(1_000_500)
			must.NoError(t, again.Beat(m.node.set.Listen.Backend, m.addr, false))
			key := instance.Start{ID: again.ID, Born: again.Born}.Key()
			// The number of backend servers doesn't tell: the former start may still be known.
			f.eventually("the other node knows it", func() bool {
				all := other.node.pub.view.Load().Service("booking")
				return len(all) == 2 && slices.ContainsFunc(all, func(r endpoint.Record) bool { return r.Instance == key })
			})
			must.NoError(t, other.backend.Beat(other.node.set.Listen.Backend, other.addr, true))
			f.eventually("the other backend server leaves", func() bool {
				return len(other.node.pub.view.Load().Service("booking")) == 1
			})
			resp, _ := f.do(other, "GET", "/status/x", "")
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, m.backend.ID, m.backend.Seen()[0].Headers.Get(platformtest.HeaderInstance))
		})
	}
}

// What the former start has said may arrive after the next one has registered. It is
// neither taken for the present one nor puts it out.
func TestWordOfAFormerStartChangesNothing(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	m.backend.Born = 1_000_000
	must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	again := m.backend.Again(1_000_500)
	must.NoError(t, again.Beat(m.node.set.Listen.Backend, m.addr, false))
	must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, true))
	must.NoError(t, m.backend.Leave(m.node.set.Listen.Backend))
	must.NoError(t, again.Beat(m.node.set.Listen.Backend, m.addr, false))
	resp, _ := f.do(m, "GET", "/status/x", "")
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// A heartbeat may come from another writer. One that can't be read, or tells what no
// backend server says, names none to use, and the one that is known stays.
func TestHeartbeatOfAnotherWriterNamesNoBackendServer(t *testing.T) {
	for name, body := range platformtest.UnreadableHeartbeats("booking") {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			m := f.nodes[0]
			before := *m.node.pub.instance.Load()
			resp, err := http.Post("http://"+m.node.set.Listen.Backend+"/api/instances/i-stranger/heartbeat", "application/json", strings.NewReader(body))
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			after := m.node.pub.instance.Load()
			must.NotNil(t, after)
			must.Eq(t, before.ID, after.ID)
			answer, _ := f.do(m, "GET", "/status/x", "")
			must.Eq(t, http.StatusOK, answer.StatusCode)
		})
	}
}

// Guards against a heartbeat of another service that displaces the host's backend server, and under whose
// service the requests of the host's callers are then sent.
func TestHeartbeatOfAnotherServiceNamesNoBackendServer(t *testing.T) {
	f := newEmptyFleet(t, 1)
	f.store.Remove("op", "config") // any service could be offered before the first configuration
	f.startAll(1)
	m := f.nodes[0]
	foreign := &platformtest.Backend{ID: "i-foreign", Service: "old-desk", Slots: 4}
	for range 2 {
		must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
		must.NoError(t, foreign.Beat(m.node.set.Listen.Backend, m.addr, false))
	}
	f.store.Put("op", "config", routes("r1"))
	f.eventually("the host's backend server serves", func() bool {
		resp, _ := f.do(m, "GET", "/status/x", "")
		return resp.StatusCode == http.StatusOK
	})
	must.Eq(t, "i-0", m.node.pub.instance.Load().ID)
	for _, s := range m.backend.Seen() {
		must.Eq(t, "booking", s.Caller)
	}
}
