package sidecar

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Guards against a goodbye or heartbeat that is acknowledged although peers can't read its
// identifier: they closed the node's links over it again and again, and it got versions late.
func TestIdentifierThatIsNotUTF8EndsNoLinks(t *testing.T) {
	for name, send := range map[string]func(b *platformtest.Backend, m *site) error{
		"goodbye":            func(b *platformtest.Backend, m *site) error { return b.Leave(m.node.set.Listen.Backend) },
		"heartbeat":          func(b *platformtest.Backend, m *site) error { return b.Beat(m.node.set.Listen.Backend, m.addr, false) },
		"draining heartbeat": func(b *platformtest.Backend, m *site) error { return b.Beat(m.node.set.Listen.Backend, m.addr, true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5)
			for _, id := range []string{"%ff%fe", "%ED%A0%80", "i-%F0%9F%98", "a%00b", "a%0d%0aX:%20y"} {
				odd := &platformtest.Backend{ID: id, Service: "booking", Slots: 4}
				must.ErrorContains(t, send(odd, f.nodes[4]), "400", must.Sprint(id))
			}
			f.store.Put("op", "config", routes("r2"))
			f.eventually("the version is in force", func() bool {
				for _, m := range f.nodes {
					if m.node.pub.table.Load().Version() < 2 {
						return false
					}
				}
				return true
			})
			f.waitForServers(5)
			for _, m := range f.nodes {
				must.StrNotContains(t, m.logs.String(), "event=peer_refused")
				must.StrNotContains(t, m.logs.String(), "event=message_unreadable")
			}
		})
	}
}

// Guards against a node that starts under a name that no peer accepts.
func TestNamesThatPeersRefuseAreRefusedInSettings(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Node = model.NodeID(strings.Repeat("n", 64)) },
		func(s *Settings) { s.Zone = "z\xff" },
		func(s *Settings) { s.Service = "a\r\nb" },
	} {
		set := &Settings{Node: "node-1", Zone: "z"}
		change(set)
		err := set.check()
		must.Error(t, err)
		must.StrContains(t, err.Error(), "want UTF-8")
	}
}
