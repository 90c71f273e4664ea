package departure

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var begin = time.Unix(1_800_000_000, 0)

func newCore(self model.NodeID) *Core {
	cfg := DefaultConfig()
	cfg.FirstStart = true
	return New(cfg, self, 7)
}

func record(node model.NodeID, incarnation uint64) endpoint.Record {
	return endpoint.Record{
		Node: node, Zone: "z", PeerAddr: "10.0.0.1:1", GateAddr: "10.0.0.1:2", Service: simService, Incarnation: incarnation,
	}
}

// draining returns the record of a node whose backend server is leaving.
func draining(node model.NodeID, incarnation uint64, instance string) endpoint.Record {
	r := record(node, incarnation)
	r.Draining, r.Instance = true, instance
	return r
}

// up is the connection of a node that knows two availability zones.
func up(r endpoint.Record) core.PeerUp {
	return core.PeerUp{Record: r, Digest: []message.ZoneDigest{{Zone: "z"}, {Zone: "z2"}}}
}

func received(from model.NodeID, records ...endpoint.Record) core.Received {
	return core.Received{From: from, Message: &message.Records{Records: records}}
}

func departures(from model.NodeID, all ...message.Departure) core.Received {
	return core.Received{From: from, Message: &message.Records{Departures: all}}
}

// told returns the departures that are sent to a node.
func told(actions []core.Action, to model.NodeID) []message.Departure {
	var all []message.Departure
	for _, a := range actions {
		if s, ok := a.(core.Send); ok && s.To == to {
			all = append(all, s.Message.(*message.Records).Departures...)
		}
	}
	return all
}

// Guards against a node that is told only by whom it dials, or only by who dials it by name.
func TestNodeIsToldOfItsDepartureWhenItConnects(t *testing.T) {
	c := newCore("a")
	c.Step(begin, received("b", draining("x", 1, "i-1")))
	must.Eq(t, []message.Departure{{Node: "x", Instance: "i-1", Incarnation: 1}}, told(c.Step(begin, up(record("x", 2))), "x"))
	must.Len(t, 0, told(c.Step(begin, up(record("b", 1))), "b"), must.Sprint("others need not know"))
	started := up(record("c", 1))
	started.Digest = started.Digest[:1]
	must.Len(t, 1, told(c.Step(begin, started), "c"), must.Sprint("but one that has just started"))
}

// Guards against a departure that is forgotten when the next start of the node replaces its record.
func TestDepartureIsFloodedWhenTheNodeStartsAgain(t *testing.T) {
	c := newCore("a")
	c.Step(begin, up(record("b", 1)))
	c.Step(begin, received("b", draining("x", 1, "i-1")))
	must.Len(t, 0, told(c.Step(begin.Add(time.Second), core.Tick{}), "b"))
	c.Step(begin.Add(time.Second), received("b", record("x", 2)))
	must.Len(t, 1, told(c.Step(begin.Add(2*time.Second), core.Tick{}), "b"))
	must.Len(t, 0, told(c.Step(begin.Add(3*time.Second), core.Tick{}), "b"))
	must.False(t, c.AnyOffered())
}

// Guards against an instance that is used again because its node offers it.
func TestDepartedInstanceThatIsOfferedIsExcluded(t *testing.T) {
	c := newCore("a")
	c.Step(begin, up(record("b", 1)))
	c.Step(begin, received("b", draining("x", 1, "i-1")))
	offered := record("x", 2)
	offered.Instance = "i-1"
	actions := c.Step(begin, received("b", offered))
	must.SliceContains(t, actions, core.Action(Departed{Node: "x", Instance: "i-1", Offered: true}))
	must.True(t, c.AnyOffered())
	must.True(t, c.Has("i-1"))
	must.Len(t, 1, told(c.Step(begin, core.Tick{}), "b"))
	stale := record("x", 1)
	stale.Instance = "i-1"
	c.Step(begin, received("b", stale))
	must.Len(t, 0, told(c.Step(begin.Add(time.Minute), core.Tick{}), "b"), must.Sprint("an outdated record offers nothing"))
}

// Guards against nodes that don't know a departure and don't pass it on to a node behind them.
func TestNewDepartureIsForwardedUnlessItsOwnNodeSendsIt(t *testing.T) {
	c := newCore("a")
	for _, id := range []model.NodeID{"b", "x"} {
		c.Step(begin, up(record(id, 1)))
	}
	d := message.Departure{Node: "y", Instance: "i-2", Incarnation: 1, Offered: true}
	actions := c.Step(begin, departures("b", d))
	must.Len(t, 1, told(actions, "x"))
	must.Len(t, 0, told(actions, "b"))
	must.Len(t, 0, told(c.Step(begin, departures("b", d)), "x"), must.Sprint("it is no news"))
	own := message.Departure{Node: "x", Instance: "i-1", Incarnation: 1}
	actions = c.Step(begin, departures("x", own))
	must.Len(t, 0, told(actions, "b"), must.Sprint("its record is flooded"))
	own.Kept = true
	must.Eq(t, []message.Departure{own}, told(actions, "x"))
}

// Guards against a departure that is taken to be remembered before a peer has said so.
func TestDepartureIsKeptOnceAPeerSaysSo(t *testing.T) {
	c := newCore("x")
	c.Step(begin, Leaving{Instance: "i-1", Incarnation: 3})
	sent := told(c.Step(begin, up(record("a", 1))), "a")
	must.Eq(t, []message.Departure{{Node: "x", Instance: "i-1", Incarnation: 3}}, sent, must.Sprint("the first peer is told when it connects"))
	must.Len(t, 0, c.Step(begin, departures("a", message.Departure{Node: "x", Instance: "i-0", Kept: true})))
	sent[0].Kept = true
	must.Eq(t, []core.Action{Kept{Instance: "i-1"}}, c.Step(begin, departures("a", sent...)))
	must.Len(t, 0, told(c.Step(begin, up(record("b", 1))), "b"))
}

// Guards against a node that ends a drain under way because a peer tells it of it.
func TestOwnDepartureIsReportedOnlyIfItIsNews(t *testing.T) {
	c := newCore("x")
	c.Step(begin, Leaving{Instance: "i-1"})
	must.SliceNotContains(t, c.Step(begin, departures("a", message.Departure{Node: "x", Instance: "i-1"})), core.Action(OwnDeparted{Instance: "i-1"}))
	before := core.Action(OwnDeparted{Instance: "i-0"})
	must.SliceContains(t, c.Step(begin, departures("a", message.Departure{Node: "x", Instance: "i-0"})), before)
	must.SliceNotContains(t, c.Step(begin, departures("b", message.Departure{Node: "x", Instance: "i-0"})), before)
}

func TestDeparturesAreBoundedAndExpire(t *testing.T) {
	c := newCore("a")
	for i := range 2 * c.cfg.MaxInstances {
		c.Step(begin, received("b", draining("x", uint64(i+1), fmt.Sprint("i-", i))))
	}
	must.Eq(t, c.cfg.MaxInstances, len(c.table.order))
	must.Eq(t, c.cfg.MaxPerNode, len(told(c.Step(begin, up(record("x", 1<<40))), "x")))
	c.Step(begin.Add(c.cfg.Retention+time.Second), core.Tick{})
	must.MapEmpty(t, c.table.byInstance)
	must.MapEmpty(t, c.table.byNode)
	must.MapEmpty(t, c.table.incarnations)
	must.False(t, c.AnyOffered())
}

func TestMalformedDeparturesAreIgnored(t *testing.T) {
	c := newCore("a")
	long := string(make([]byte, endpoint.MaxInstance+1))
	c.Step(begin, departures("b", message.Departure{Node: "x"}, message.Departure{Node: "x", Instance: long},
		message.Departure{Node: model.NodeID(long), Instance: "i-1"}, message.Departure{Node: "x", Instance: "i-1", Incarnation: endpoint.MaxCounter + 1}))
	must.MapEmpty(t, c.table.byInstance)
}

// Guards against a node that offers its backend server before it could be told of its departure, and
// against one that never does.
func TestNodeSettlesOnceItCouldBeTold(t *testing.T) {
	for name, c := range map[string]struct {
		events []core.Event
		after  time.Duration // the events; negative for never
	}{
		"alone without the store":            {[]core.Event{ListRead{Failed: true}}, -1},
		"a peer, the store is not asked yet": {[]core.Event{up(record("a", 1))}, -1},
		"a peer without the store":           {[]core.Event{up(record("a", 1)), ListRead{Failed: true}}, 250 * time.Millisecond},
		"a peer and the store":               {[]core.Event{ListRead{}, up(record("a", 1))}, 250 * time.Millisecond},
		"alone with the store":               {[]core.Event{ListRead{}}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(DefaultConfig(), "x", 7)
			for _, ev := range c.events {
				must.False(t, settles(x.Step(begin, ev)))
			}
			settled := time.Duration(-1)
			for after := time.Duration(0); after < time.Minute && settled < 0; after += 50 * time.Millisecond {
				if settles(x.Step(begin.Add(after), core.Tick{})) {
					settled = after
				}
			}
			must.Eq(t, c.after, settled)
			must.Eq(t, c.after >= 0, x.Settled())
		})
	}
}

func settles(actions []core.Action) bool {
	for _, a := range actions {
		if _, ok := a.(Settled); ok {
			return true
		}
	}
	return false
}

// remembering returns the connection of a peer in a zone whose memory reaches back for a time.
func remembering(node model.NodeID, zone model.Zone, reach time.Duration) core.PeerUp {
	r := record(node, 1)
	r.Zone = zone
	return core.PeerUp{Record: r, Remembers: reach}
}

// Guards against a node that trusts peers which can't have learned of a departure beside it.
func TestNodeIsInDoubtUnlessItsZoneRemembers(t *testing.T) {
	all := DefaultConfig().Retention
	for name, c := range map[string]struct {
		events  []core.Event
		inDoubt bool
	}{
		"a peer that remembers":              {[]core.Event{remembering("a", "z", all), ListRead{}}, false},
		"a peer that has just started":       {[]core.Event{remembering("a", "z", time.Second), ListRead{}}, true},
		"a peer of an earlier version":       {[]core.Event{remembering("a", "z", 0), ListRead{}}, true},
		"a peer of another zone":             {[]core.Event{remembering("a", "z2", all), ListRead{}}, true},
		"one of two remembers":               {[]core.Event{remembering("a", "z", 0), remembering("b", "z", all), ListRead{}}, false},
		"alone":                              {[]core.Event{ListRead{}}, true},
		"the store alone may have been told": {[]core.Event{remembering("a", "z", all), ListRead{Failed: true}}, true},
		"a peer has passed on what it was told": {[]core.Event{remembering("a", "z", time.Second), ListRead{},
			core.Received{From: "a", Message: &message.Records{RemembersMillis: uint64(all.Milliseconds())}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.Zone = "z"
			x := New(cfg, "x", 7)
			for _, ev := range c.events {
				must.False(t, settles(x.Step(begin, ev)))
			}
			must.SliceContains(t, x.Step(begin.Add(cfg.AloneAfter), core.Tick{}), core.Action(Settled{InDoubt: c.inDoubt}))
			certain := x.Step(begin.Add(cfg.Retention), core.Tick{})
			must.Eq(t, c.inDoubt, settles(certain), must.Sprint("nothing is in doubt once the node has run for long"))
		})
	}
}

// Guards against a doubt that stays though a peer that remembers has connected.
func TestDoubtEndsWithAPeerThatRemembers(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Zone = "z"
	x := New(cfg, "x", 7)
	x.Step(begin, ListRead{})
	must.SliceContains(t, x.Step(begin.Add(cfg.AloneAfter), core.Tick{}), core.Action(Settled{InDoubt: true}))
	at := begin.Add(2 * time.Second)
	must.False(t, settles(x.Step(at, remembering("a", "z", cfg.Retention))))
	must.SliceContains(t, x.Step(at.Add(cfg.Settle), core.Tick{}), core.Action(Settled{}))
}

// Guards against a node that vouches for departures of which it can't have learned.
func TestMemoryReachesBackAsFarAsTheNodeWasTold(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Zone = "z"
	c := New(cfg, "c", 7)
	c.Step(begin, core.Tick{})
	must.Eq(t, time.Second, c.Remembers(begin.Add(time.Second)))
	c.Step(begin.Add(time.Second), remembering("a", "z", cfg.Retention))
	must.Eq(t, time.Second, c.Remembers(begin.Add(time.Second)), must.Sprint("a connection alone tells nothing"))
	c.Step(begin.Add(time.Second), core.Received{From: "a", Message: &message.Records{RemembersMillis: 1 << 60}})
	must.Eq(t, cfg.Retention, c.Remembers(begin.Add(time.Second)))
	started := remembering("b", "z", 10*time.Millisecond)
	must.True(t, tellsReach(c.Step(begin.Add(time.Second), started), "b"))
	must.False(t, tellsReach(c.Step(begin.Add(time.Second), remembering("d", "z2", 0)), "d"), must.Sprint("its zone may have been cut off"))
	must.False(t, tellsReach(c.Step(begin.Add(time.Second), remembering("e", "z", cfg.Retention)), "e"))
	for _, id := range []model.NodeID{"a", "b", "d", "e"} {
		c.Step(begin.Add(2*time.Second), core.PeerDown{Node: id})
	}
	must.Zero(t, c.Remembers(begin.Add(3*time.Second)), must.Sprint("without a peer it learns of none"))
	c.Step(begin.Add(4*time.Second), remembering("a", "z", 0))
	must.Eq(t, time.Second, c.Remembers(begin.Add(5*time.Second)))
}

// tellsReach reports whether a peer is told how far back the departures reach.
func tellsReach(actions []core.Action, to model.NodeID) bool {
	for _, a := range actions {
		if s, ok := a.(core.Send); ok && s.To == to && s.Message.(*message.Records).RemembersMillis > 0 {
			return true
		}
	}
	return false
}
