package node

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/gate"
	"github.com/jacinthgate/jacinthgate/transport/local"
)

// The fleet is told of a backend server only once the gate lets requests in: a
// request that follows the news at once would otherwise be refused as draining.
func TestGateIsOpenBeforeTheFleetKnows(t *testing.T) {
	a := local.Announcement{Service: "rooms", Addr: "127.0.0.1:9", Slots: 4, Connections: 4}
	g := gate.New(gate.Config{
		Announcement: func() local.Announcement { return a },
		Service:      func(string) *model.Service { return &model.Service{} },
	})
	n := &Node{log: log.NewNopLogger(), ctx: t.Context(), gate: g, loop: &loop{queue: eventqueue.New(1)}}
	n.announce(a)
	told := <-n.loop.queue.Events
	must.Eq(t, "rooms", told.(member.Announce).Service)
	must.Eq(t, 4, g.Load().Slots)
}
