package member

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var epoch = time.Unix(1_800_000_000, 0)

// coreWithLinks returns a core with links to the first peers members of its zone, after the
// grace period that follows its start.
func coreWithLinks(peers int) (*Core, time.Time) {
	c := New(DefaultConfig(), record(0, 0), nil, 1)
	now := epoch
	for i := range peers {
		c.Step(now, core.PeerUp{Record: record(0, i+1)})
	}
	return c, tickFor(c, now, 6*time.Second, peers)
}

// tickFor sends a Tick every 100 ms for d and returns the time after it. Before each Tick
// the core receives a message from each of the first active peers.
func tickFor(c *Core, now time.Time, d time.Duration, active int) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		for i := range active {
			c.Step(now, core.Received{From: record(0, i+1).Node, Message: &message.Beacon{}})
		}
		c.Step(now, core.Tick{})
	}
	return now
}

// actionsOf returns the actions of type A.
func actionsOf[A core.Action](acts []core.Action) (found []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

func TestSilentPeersAreSuspectedExceptAfterAPause(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(4)
	tickFor(c, now, 6*time.Second, 3)
	must.Eq(t, 1, c.Stats().Suspected)
	c, now = coreWithLinks(4)
	now = now.Add(time.Hour) // no Tick: the process was paused
	must.SliceEmpty(t, actionsOf[core.Disconnect](c.Step(now, core.Tick{})))
	tickFor(c, now, 4*time.Second, 0)
	must.Zero(t, c.Stats().Suspected)
}

func TestSuspicionsAreCapped(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(27)
	now = tickFor(c, now, 6*time.Second, 1)
	must.Eq(t, 7, c.Stats().Suspected, must.Sprint("a quarter of 28"))
	must.Positive(t, c.Stats().SuspicionsSuppressed)
	must.Eq(t, 28, len(c.Live()))
	tickFor(c, now, 4*time.Second, 1)
	must.Eq(t, 21, len(c.Live()))
}

func TestStaleRecordIsCorrected(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(2)
	newer, older := record(0, 9), record(0, 9)
	newer.Sequence = 5
	receive := func(r endpoint.Record) []core.Send {
		now = now.Add(time.Second)
		m := &message.Records{Records: []endpoint.Record{r}}
		acts := c.Step(now, core.Received{From: record(0, 1).Node, Message: m})
		acts = append(acts, c.Step(now.Add(50*time.Millisecond), core.Tick{})...)
		return slices.DeleteFunc(actionsOf[core.Send](acts), func(s core.Send) bool {
			return s.Message.Kind() != message.KindRecords
		})
	}
	must.Len(t, 1, receive(newer), must.Sprint("flooded to the other peer"))
	sent := receive(older)
	must.Len(t, 1, sent)
	must.Eq(t, record(0, 1).Node, sent[0].To)
	must.Eq(t, newer, sent[0].Message.(*message.Records).Records[0])
	newer.Status = endpoint.StatusSuspect
	must.Eq(t, message.Urgent, receive(newer)[0].Priority)
	newer.Status = endpoint.StatusAlive
	newer.Sequence++
	must.Eq(t, message.Urgent, receive(newer)[0].Priority, must.Sprint("a refutation"))
}

func TestConflictsAreReported(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(1)
	up := core.PeerUp{Record: record(0, 2), Welcomed: true, Incarnation: 9}
	must.Eq(t, []IdentityConflict{{9}}, actionsOf[IdentityConflict](c.Step(now, up)))
	other := c.Self()
	other.GateAddr = "10.9.9.9:1"
	m := &message.Records{Records: []endpoint.Record{other}}
	acts := c.Step(now, core.Received{From: record(0, 1).Node, Message: m})
	must.Len(t, 1, actionsOf[IdentityConflict](acts))
	must.Len(t, 1, actionsOf[Refused](acts))
	other.Incarnation = 12
	m = &message.Records{Records: []endpoint.Record{other}}
	acts = c.Step(now, core.Received{From: record(0, 1).Node, Message: m})
	must.Eq(t, []IdentityConflict{{12}}, actionsOf[IdentityConflict](acts))
}

func TestPeerWithInvalidRecordIsDisconnected(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(1)
	bad := record(0, 2)
	bad.PeerAddr = "nowhere"
	must.Len(t, 1, actionsOf[core.Disconnect](c.Step(now, core.PeerUp{Record: bad})))
	must.Len(t, 1, c.Neighbours())
}

// The initial sync of a zone is requested at once, and its records aren't flooded.
// Afterwards digests are compared with all neighbours.
func TestInitialSyncIsNotFlooded(t *testing.T) {
	t.Parallel()
	c, now := coreWithLinks(3)
	up := core.PeerUp{Record: record(0, 4), Digest: []message.ZoneDigest{{Zone: "zone-b", Hash: 7}}}
	sent := actionsOf[core.Send](c.Step(now, up))
	must.True(t, slices.ContainsFunc(sent, func(s core.Send) bool {
		req, ok := s.Message.(*message.RecordsRequest)
		return ok && req.Zone == "zone-b" && s.To == record(0, 4).Node
	}))
	c.Step(now.Add(time.Second), core.Tick{})
	m := &message.Records{Records: []endpoint.Record{record(1, 1)}}
	acts := c.Step(now.Add(time.Second), core.Received{From: record(0, 4).Node, Message: m})
	acts = append(acts, c.Step(now.Add(1100*time.Millisecond), core.Tick{})...)
	for _, s := range actionsOf[core.Send](acts) {
		must.NotEq(t, message.KindRecords, s.Message.Kind())
	}
	compared := 0
	for _, s := range actionsOf[core.Send](c.Step(now.Add(3*time.Second), core.Tick{})) {
		if d, ok := s.Message.(*message.Digest); ok && len(d.Zones) == 2 {
			compared++
		}
	}
	must.Eq(t, 4, compared)
}

// A node that receives no messages doesn't confirm suspicions raised by other nodes.
func TestIsolatedNodeConfirmsOnlyOwnSuspicions(t *testing.T) {
	t.Parallel()
	for _, active := range []int{0, 1} {
		c, now := coreWithLinks(2)
		r := record(0, 9)
		r.Status = endpoint.StatusSuspect
		m := &message.Records{Records: []endpoint.Record{r}}
		c.Step(now, core.Received{From: record(0, 1).Node, Message: m})
		tickFor(c, now, 9*time.Second, active)
		held, _ := c.Table().Get(r.Node)
		must.Eq(t, active == 1, held.Status == endpoint.StatusFailed)
	}
}

// Two cores that each lack a record of the other have equal tables after a single digest.
func TestOneDigestSynchronisesBothSides(t *testing.T) {
	t.Parallel()
	a, b := New(DefaultConfig(), record(0, 0), nil, 1), New(DefaultConfig(), record(0, 1), nil, 1)
	a.Step(epoch, core.PeerUp{Record: b.Self()})
	b.Step(epoch, core.PeerUp{Record: a.Self()})
	now := epoch.Add(time.Minute)
	a.handleRecords("", []endpoint.Record{record(1, 1), record(1, 2)})
	b.handleRecords("", []endpoint.Record{record(1, 2), record(1, 3)})
	clear(a.flood.pending) // the floods are lost
	clear(b.flood.pending)
	cores := map[model.NodeID]*Core{a.self.Node: a, b.self.Node: b}
	to, msgs := b.self.Node, []message.Message{&message.Digest{Zones: a.Digest()}}
	for len(msgs) > 0 {
		from := a.self.Node
		if to == from {
			from = b.self.Node
		}
		var sent []core.Send
		for _, m := range msgs {
			sent = append(sent, actionsOf[core.Send](cores[to].Step(now, core.Received{From: from, Message: m}))...)
		}
		to, msgs = from, nil
		for _, s := range sent {
			msgs = append(msgs, s.Message)
		}
	}
	must.Eq(t, a.Digest(), b.Digest())
	must.Eq(t, 5, a.Table().Len())
}
