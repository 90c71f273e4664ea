package link

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer/memory"
)

// A node that dials a peer by name sends, in its Hello, the version that it last
// recorded for the peer. In a Hello to a seed, whose name is not known, the field
// is not valid.
func TestHelloToNamedNodeCarriesLastHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memory.NewNetwork()
		b := start(t, net.Transport("b", "b:1"), "b", nil)
		for _, to := range []model.NodeID{"b", ""} {
			id := "a" + to
			a := start(t, net.Transport(id, string(id)+":1"), id, func(c *Config) {
				c.Hello = func(to model.NodeID) message.Hello {
					record := endpoint.Record{Node: id, Incarnation: 1, PeerAddr: string(id) + ":1"}
					return message.Hello{Protocol: message.ProtocolVersion, Record: record, To: to, LastHeld: 5}
				}
			})
			a.Connect(to, "b:1")
			up := nextEvent[core.PeerUp](t, b)
			must.Eq(t, to == "b", up.LastHeldValid)
			must.Eq(t, 5, up.LastHeld)
			must.False(t, up.Welcomed)
			must.True(t, nextEvent[core.PeerUp](t, a).LastHeldValid)
		}
	})
}
