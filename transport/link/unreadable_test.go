package link

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/codec"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/transport/peer"
	"github.com/jacinthgate/jacinthgate/transport/peer/memory"
)

// encodedUnchecked encodes a message as an earlier version does, which sends texts that are not UTF-8.
func encodedUnchecked(t *testing.T, m message.Message) []byte {
	body, err := codec.NewShortEncoder().Marshal(m)
	must.NoError(t, err)
	return append([]byte{byte(m.Kind())}, body...)
}

// Guards against a message that ends the link of all others because it can't be decoded: its sender
// connected and sent it again and again, and got versions late.
func TestUnreadableMessageCostsItselfOnly(t *testing.T) {
	const odd = "i-\xff\xfe"
	tests := map[string]struct {
		payload []byte
		events  []string
	}{
		"kind of a later version": {[]byte{255, 0xa0}, nil},
		"damaged":                 {[]byte{byte(message.KindFetch), 0xff}, nil},
		"no body":                 {[]byte{byte(message.KindShares)}, nil},
		"odd text":                {encodedUnchecked(t, &message.Rejections{Rejections: []message.Rejection{{Reason: odd}}}), nil},
		"odd departure": {
			encodedUnchecked(t, &message.Records{Departures: []message.Departure{{Instance: odd}, {Instance: "i-1"}}}),
			[]string{fmt.Sprint("kind ", message.KindRecords)},
		},
		"odd record": {
			encodedUnchecked(t, &message.Records{Records: []endpoint.Record{{Instance: odd}, {Instance: "i-1"}}}),
			[]string{fmt.Sprint("kind ", message.KindRecords)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, a, b := pair(t)
				a.Connect("b", "b:1")
				must.Len(t, 1, a.takeEvents())
				must.NoError(t, a.peers["b"].conns[0].conn.Send(t.Context(), test.payload))
				must.NoError(t, a.Send("b", message.Normal, fetch(7)))
				must.Eq(t, append(append([]string{"up a"}, test.events...), "fetch 7"), b.takeEvents())
				must.Len(t, 0, a.takeEvents())
				must.StrContains(t, b.log.String(), "event=message_unreadable kind="+kindName(message.Kind(test.payload[0]))+" node=a")
				must.Eq(t, 1, b.counter(fmt.Sprintf("jacinthgate_link_unreadable_total{kind=%q}", kindName(message.Kind(test.payload[0])))))
			})
		})
	}
}

// Guards against elements that are lost with an unreadable one of the same message.
func TestReadableElementsOfAMessageAreUsed(t *testing.T) {
	salvaged := message.Salvage(encodedUnchecked(t, &message.Records{
		Records:         []endpoint.Record{{Node: "a", Instance: "\xff"}, {Node: "b", Instance: "i-1"}, {Node: "c\xff"}},
		Departures:      []message.Departure{{Node: "a", Instance: "\xff"}, {Node: "b", Instance: "i-2"}},
		RemembersMillis: 7,
	}))
	must.Eq(t, &message.Records{
		Records: []endpoint.Record{{Node: "b", Instance: "i-1"}}, Departures: []message.Departure{{Node: "b", Instance: "i-2"}}, RemembersMillis: 7,
	}, salvaged.(*message.Records))
}

// Guards against a node of an earlier version that can't connect because its backend server, or the
// departure that it tells, has an odd identifier.
func TestPeerWithAnUnreadableServerIsConnected(t *testing.T) {
	record := endpoint.Record{Node: "b", Zone: "z", Incarnation: 1, Service: "booking", Instance: "\xff", Slots: 4}
	hello := &message.Hello{Protocol: message.ProtocolVersion, Record: record, To: "a", Drained: true, DrainedInstance: "\xfe"}
	welcome := &message.Welcome{Protocol: message.ProtocolVersion, Record: record, Drained: true, DrainedInstance: "\xfe"}
	for _, dialled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net := memory.NewNetwork()
			a := start(t, net.Transport("a", "a:1"), "a", nil).record(t)
			earlier := net.Transport("b", "b:1")
			t.Cleanup(func() { earlier.Close() })
			var conn peer.Conn
			var err error
			if dialled {
				a.Connect("b", "b:1")
				conn, err = earlier.Accept(t.Context())
				must.NoError(t, err)
				_, err = conn.Receive(t.Context())
				must.NoError(t, err)
				must.NoError(t, conn.Send(t.Context(), encodedUnchecked(t, welcome)))
			} else {
				conn, err = earlier.Dial(t.Context(), "a:1")
				must.NoError(t, err)
				must.NoError(t, conn.Send(t.Context(), encodedUnchecked(t, hello)))
			}
			must.Len(t, 1, a.takeEvents())
			up := a.peers["b"].up
			must.Eq(t, endpoint.Record{Node: "b", Zone: "z", Incarnation: 1}, up.Record)
			must.False(t, up.Drained)
		})
	}
}

// Guards against a peer whose unreadable messages fill the log.
func TestLinesOnUnreadableMessagesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		a.Connect("b", "b:1")
		must.Len(t, 1, a.takeEvents())
		for range 1000 {
			must.NoError(t, a.peers["b"].conns[0].conn.Send(t.Context(), []byte{255}))
		}
		synctest.Wait()
		must.Eq(t, unreadableLogBurst, strings.Count(b.log.String(), "event=message_unreadable"))
		time.Sleep(2 * unreadableLogInterval)
		must.NoError(t, a.peers["b"].conns[0].conn.Send(t.Context(), []byte{255}))
		synctest.Wait()
		must.StrContains(t, b.log.String(), fmt.Sprint("unlogged=", 1000-unreadableLogBurst))
		must.Eq(t, 1001, b.counter(`jacinthgate_link_unreadable_total{kind="unknown"}`))
	})
}
