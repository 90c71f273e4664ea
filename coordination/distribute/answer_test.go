package distribute

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// A node that all its neighbours dialled as a seed gets no answer in their
// Hello messages. It becomes ready by the answers in their adverts, but not
// before it holds the version that they remember it to have held.
func TestDialledNodeBecomesReadyByAdverts(t *testing.T) {
	t.Parallel()
	for _, remembered := range []uint64{0, 9} {
		s := newSingleCore(t, DefaultConfig())
		v := versions(t, 3)[2]
		for _, id := range []model.NodeID{"p1", "p2"} {
			r := endpoint.Record{Node: id, Zone: "zone-0"}
			s.step(0, core.PeerUp{Record: r, Held: v.Ref(), Ready: true})
			s.receive(0, id, &message.Advert{Held: v.Ref(), Ready: true, HasLastHeld: true, LastHeld: remembered})
		}
		s.receive(0, "p1", fullMessage(t, v))
		s.idle(time.Second)
		must.Eq(t, remembered == 0, s.c.Ready())
	}
}

// A node adds an answer to its advert for a peer that is not ready, and for no
// other.
func TestOnlyUnreadyPeersAreAnswered(t *testing.T) {
	t.Parallel()
	c := New(DefaultConfig(), endpoint.Record{Node: "self", Zone: "zone-0"}, 1)
	for _, ready := range []bool{false, true} {
		up := core.PeerUp{Record: endpoint.Record{Node: "p1", Zone: "zone-0"}, Held: snapshot.Ref{Version: 4}, Ready: ready}
		answers := 0
		for _, a := range c.Step(time.Unix(1, 0), up) {
			send, isSend := a.(core.Send)
			if !isSend {
				continue
			}
			if m, isAdvert := send.Message.(*message.Advert); isAdvert && m.HasLastHeld {
				must.Eq(t, 4, m.LastHeld)
				answers++
			}
		}
		must.Eq(t, !ready, answers == 1)
	}
}
