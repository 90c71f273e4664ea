package distribute

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// singleCore drives one core with the events of a test.
type singleCore struct {
	t        *testing.T
	c        *Core
	actions  []core.Action
	elapsed  time.Duration
	readyAt  time.Duration     // when it first became ready, or never
	onAction func(core.Action) // called with every action
}

// never is the readyAt of a core that has not become ready.
const never = time.Duration(-1)

// at returns the time that is d after the start.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// newSingleCore returns the core of node self, in a zone with the members p1,
// p2 and p3.
func newSingleCore(t *testing.T, cfg Config) *singleCore {
	self := endpoint.Record{Node: "self", Zone: "zone-0", Incarnation: 7}
	s := &singleCore{t: t, c: New(cfg, self, 1), readyAt: never, onAction: func(core.Action) {}}
	s.step(0, Members{Live: []model.NodeID{"self", "p1", "p2", "p3"}})
	return s
}

// step passes an event to the core at the time d after the start and keeps the
// actions.
func (s *singleCore) step(d time.Duration, ev core.Event) {
	s.actions = s.c.Step(at(d), ev)
	s.elapsed = d
	if s.c.Ready() && s.readyAt == never {
		s.readyAt = d
	}
	for _, a := range s.actions {
		s.onAction(a)
	}
}

// idle lets time pass until d after the start, with no other event.
func (s *singleCore) idle(d time.Duration) {
	for s.elapsed < d {
		s.step(s.elapsed+100*time.Millisecond, core.Tick{})
	}
}

// connectPeer connects a peer in the same zone that has answered with lastHeld.
func (s *singleCore) connectPeer(d time.Duration, id model.NodeID, held snapshot.Ref, ready bool, lastHeld uint64) {
	r := endpoint.Record{Node: id, Zone: "zone-0"}
	s.step(d, core.PeerUp{Record: r, Held: held, Ready: ready, LastHeldValid: true, LastHeld: lastHeld})
}

func (s *singleCore) receive(d time.Duration, from model.NodeID, m message.Message) {
	s.step(d, core.Received{From: from, Message: m})
}

func (s *singleCore) beacon(d time.Duration, from model.NodeID, seq uint64, ok bool) {
	s.receive(d, from, &message.Beacon{Zone: "zone-0", Reader: "p3", Term: 1, Sequence: seq, PlatformOK: ok})
}

// connectReadyPeer connects the ready peer p1, which sends its whole version.
func (s *singleCore) connectReadyPeer(v *snapshot.Snapshot) {
	s.connectPeer(0, "p1", v.Ref(), true, 0)
	s.receive(0, "p1", fullMessage(s.t, v))
}

// fullMessage returns the message that carries a whole version in one part.
func fullMessage(t *testing.T, v *snapshot.Snapshot) *message.Full {
	b, err := v.Encode()
	must.NoError(t, err)
	return &message.Full{Ref: v.Ref(), Count: 1, Body: b}
}

// sent returns the messages of one type among the last actions.
func sent[M message.Message](s *singleCore) []M {
	var ms []M
	for _, a := range s.actions {
		if send, ok := a.(core.Send); ok {
			if m, ok := send.Message.(M); ok {
				ms = append(ms, m)
			}
		}
	}
	return ms
}

// versions returns the versions from 0 to count.
func versions(t *testing.T, count int) []*snapshot.Snapshot {
	vs := []*snapshot.Snapshot{snapshot.Empty()}
	for range count {
		vs = append(vs, nextVersion(t, vs[len(vs)-1], 4))
	}
	return vs
}

func TestFreshNodeBecomesReady(t *testing.T) {
	t.Parallel()
	vs := versions(t, 3)
	v2, v3 := vs[2], vs[3]
	for name, tc := range map[string]struct {
		prepare func(s *singleCore)
		readyAt time.Duration
	}{
		"two ready peers, after JoinSettle": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.connectPeer(0, "p2", v2.Ref(), true, 0)
		}, 300 * time.Millisecond},
		"one ready peer, after JoinTimeout": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.connectPeer(0, "p2", v2.Ref(), false, 0)
		}, 10 * time.Second},
		"no ready peer": {func(s *singleCore) {
			s.connectPeer(0, "p1", v2.Ref(), false, 0)
		}, never},
		"a peer remembers a newer version": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.connectPeer(0, "p2", v2.Ref(), true, 0)
			s.connectPeer(0, "p3", v2.Ref(), false, 3)
		}, never},
		"a ready peer holds a newer version": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.connectPeer(0, "p2", v3.Ref(), true, 0)
		}, never},
		"the only holder of the newer version disconnected": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.connectPeer(0, "p2", v3.Ref(), true, 0)
			s.step(0, core.PeerDown{Node: "p2"})
		}, 10 * time.Second},
		"the head was read": {func(s *singleCore) {
			s.step(0, HeadRead{Ref: v2.Ref()})
			s.step(0, Loaded{Snapshot: v2})
		}, 0},
		"the head read is newer than the version held": {func(s *singleCore) {
			s.step(0, HeadRead{Ref: v3.Ref()})
			s.step(0, Loaded{Snapshot: v2})
		}, never},
		"the reader read the head after the start": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.beacon(100*time.Millisecond, "p1", 4, true)
			s.beacon(2100*time.Millisecond, "p1", 5, true)
			s.beacon(4100*time.Millisecond, "p1", 6, true)
		}, 4100 * time.Millisecond},
		"old beacons arrive late and together": {func(s *singleCore) {
			s.connectReadyPeer(v2)
			s.beacon(0, "p1", 4, true)
			s.beacon(0, "p1", 9, true)
		}, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSingleCore(t, DefaultConfig())
			tc.prepare(s)
			s.idle(30 * time.Second)
			must.Eq(t, tc.readyAt, s.readyAt)
		})
	}
}

func TestReadyEndsWhenAPeerReportsANewerVersion(t *testing.T) {
	t.Parallel()
	vs := versions(t, 2)
	s := newSingleCore(t, DefaultConfig())
	s.step(0, Loaded{Snapshot: vs[1]})
	must.True(t, s.c.Ready())
	s.connectPeer(time.Second, "p1", vs[1].Ref(), false, 2)
	must.False(t, s.c.Ready())
	s.step(2*time.Second, Loaded{Snapshot: vs[2]})
	must.True(t, s.c.Ready())
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	t.Parallel()
	vs := versions(t, 2)
	v1, v2 := vs[1], vs[2]
	dangling, err := snapshot.Build(2, map[string]*snapshot.ContractEntry{
		"a": {Revision: 2, Contract: testContract("a", 1)},
	}, nil) // its route refers to a service that is missing
	must.NoError(t, err)
	delta := func(to *snapshot.Snapshot) *message.Delta {
		b, err := snapshot.Diff(v1, to).Encode()
		must.NoError(t, err)
		return &message.Delta{From: v1.Ref(), To: to.Ref(), Body: b}
	}
	truncatedDelta, truncatedFull, wrongHashDelta, wrongHashFull := delta(v2), fullMessage(t, v2), delta(v2), fullMessage(t, v2)
	truncatedDelta.Body = truncatedDelta.Body[:len(truncatedDelta.Body)/2]
	truncatedFull.Body = truncatedFull.Body[:len(truncatedFull.Body)/2]
	wrongHashDelta.To.Hash[0]++
	wrongHashFull.Ref.Hash[0]++
	strict := DefaultConfig()
	strict.Check = func(*snapshot.Snapshot) error { return &snapshot.CodecError{What: "schema", Err: errDown{}} }
	for name, tc := range map[string]struct {
		cfg Config
		m   message.Message
	}{
		"truncated delta":                           {DefaultConfig(), truncatedDelta},
		"truncated whole version":                   {DefaultConfig(), truncatedFull},
		"delta with wrong hash":                     {DefaultConfig(), wrongHashDelta},
		"whole version with wrong hash":             {DefaultConfig(), wrongHashFull},
		"delta to a version with a missing service": {DefaultConfig(), delta(dangling)},
		"whole version with a missing service":      {DefaultConfig(), fullMessage(t, dangling)},
		"fails Config.Check":                        {strict, delta(v2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lenient := tc.cfg
			lenient.Check = nil
			s := newSingleCore(t, lenient)
			s.step(0, Loaded{Snapshot: v1})
			s.c.cfg = tc.cfg
			s.connectPeer(time.Second, "p1", v1.Ref(), true, 0)
			s.beacon(time.Second, "p1", 1, true)
			s.receive(time.Second, "p1", &message.Advert{Held: v2.Ref()})
			must.Len(t, 1, sent[*message.Fetch](s))
			s.receive(time.Second, "p1", tc.m)
			must.Eq(t, v1.Ref(), s.c.Held().Ref())
			must.True(t, s.c.Ready())
			rejected, fetched := 0, time.Duration(0)
			for d := time.Second; fetched == 0 && d < time.Minute; d += 100 * time.Millisecond {
				s.step(d, core.Tick{})
				for _, m := range sent[*message.Rejections](s) {
					must.Eq(t, 2, m.Rejections[0].Version)
					must.NotEq(t, "", m.Rejections[0].Reason)
					rejected++
				}
				if len(sent[*message.Fetch](s)) > 0 {
					fetched = d
				}
			}
			must.Eq(t, 1, rejected)
			must.Eq(t, time.Second+tc.cfg.RefuseFor, fetched)
		})
	}
}

func TestFullTransfersAreQueued(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.PartBytes, cfg.PartsPerStep = 64, 2
	s := newSingleCore(t, cfg)
	s.step(0, Loaded{Snapshot: versions(t, 1)[1]})
	next := make(map[model.NodeID]uint32)
	done := 0
	s.onAction = func(a core.Action) {
		send, ok := a.(core.Send)
		if !ok || send.Message.Kind() != message.KindFull {
			return
		}
		m := send.Message.(*message.Full)
		must.Eq(t, next[send.To], m.Index)
		next[send.To]++
		must.LessEq(t, cfg.MaxFullTransfers, len(next))
		if next[send.To] == m.Count {
			delete(next, send.To)
			done++
		}
	}
	for i := range 20 {
		id := model.NodeID(fmt.Sprint("joiner-", i))
		s.connectPeer(0, id, snapshot.Ref{}, false, 0)
		s.receive(0, id, &message.Fetch{})
		s.receive(0, id, &message.Fetch{}) // a repeated Fetch keeps its place
	}
	s.idle(time.Minute)
	must.Eq(t, 20, done)
}

func TestReaderWaitsForEveryIncarnation(t *testing.T) {
	t.Parallel()
	v1 := versions(t, 1)[1]
	s := newSingleCore(t, DefaultConfig())
	for _, id := range []model.NodeID{"p1", "p2", "p3"} {
		s.connectPeer(0, id, snapshot.Ref{}, true, 0)
	}
	s.step(0, LeaseChanged{Held: true, Term: 1})
	s.step(0, Loaded{Snapshot: v1})
	ack := func(id model.NodeID, incarnation, version uint64) {
		s.receive(s.elapsed+100*time.Millisecond, id, &message.Acks{Zone: "zone-0", Acks: []message.Ack{
			{Node: id.Key(), Incarnation: incarnation, Version: version},
		}})
	}
	inForce := func() bool { return s.c.Status().Zones[0].InForce(1) }
	ack("p1", 1, 1)
	ack("p2", 1, 1)
	s.idle(3 * time.Second)
	must.False(t, inForce())
	must.Eq(t, []model.NodeID{"p3"}, s.c.Status().Zones[0].Status.Missing)
	ack("p3", 1, 1)
	must.True(t, inForce())
	must.Eq(t, 1, s.c.LastHeldOf("p3"))
	ack("p2", 2, 0) // p2 has restarted
	ack("p2", 1, 1) // an acknowledgement of its earlier incarnation arrives late
	s.idle(6 * time.Second)
	must.False(t, inForce())
	ack("p2", 2, 1)
	must.True(t, inForce())
}

func TestAckIsRetriedWithBackoffUntilStatusHasIt(t *testing.T) {
	t.Parallel()
	s := newSingleCore(t, DefaultConfig())
	s.step(0, Loaded{Snapshot: versions(t, 1)[1]})
	s.connectPeer(0, "p1", s.c.Held().Ref(), true, 0)
	s.beacon(0, "p1", 1, true)
	s.idle(time.Second)
	acks := 0
	s.onAction = func(core.Action) { acks += len(sent[*message.Acks](s)) }
	status := func(seq uint64, holding uint32, missing ...model.NodeID) {
		s.receive(s.elapsed, "p1", &message.ZoneStatus{
			Zone: "zone-0", Reader: "p3", Term: 1, Sequence: seq, Version: 1, Live: 4, Holding: holding, Missing: missing,
		})
	}
	status(1, 3, "p2")
	s.idle(10 * time.Second)
	must.Eq(t, 0, acks)
	status(2, 3, "self")
	s.idle(time.Minute)
	must.Between(t, 5, acks, 8) // after about 1, 2, 4 and 8 s, then every 16 s
	status(3, 4)
	s.idle(80 * time.Second) // one retry may still be scheduled
	acks = 0
	s.idle(4 * time.Minute)
	must.Eq(t, 0, acks)
}

func TestUpstreamMovesToNextBest(t *testing.T) {
	t.Parallel()
	s := newSingleCore(t, DefaultConfig())
	for _, id := range []model.NodeID{"p1", "p2", "p3"} {
		s.connectPeer(0, id, snapshot.Ref{}, true, 0)
	}
	for i, id := range []model.NodeID{"p2", "p1", "p3"} {
		hops := uint8(3 - i)
		s.receive(0, id, &message.Beacon{Zone: "zone-0", Reader: "far", Term: 2, Sequence: 5, Hops: hops})
		must.Eq(t, 2*max(0, 1-i), len(sent[*message.Beacon](s)), must.Sprint("must be relayed once, to all but the sender"))
	}
	s.receive(0, "p1", &message.Beacon{Zone: "zone-0", Reader: "lapsed", Term: 1, Sequence: 900})
	s.step(0, core.PeerUp{Record: endpoint.Record{Node: "gateway", Zone: "zone-1"}})
	s.receive(0, "gateway", &message.Beacon{Zone: "zone-0", Reader: "far", Term: 2, Sequence: 6}) // a beacon of the own zone that arrives through another zone
	must.Eq(t, "p2", s.c.Status().Upstream)
	must.Eq(t, "far", s.c.Status().Reader)
	s.step(0, core.PeerDown{Node: "p2"})
	must.Eq(t, "p3", s.c.Status().Upstream)
}

func TestDeltaMayStartFromAnEarlierVersion(t *testing.T) {
	t.Parallel()
	vs := versions(t, 3)
	source, s := newSingleCore(t, DefaultConfig()), newSingleCore(t, DefaultConfig())
	source.step(0, Loaded{Snapshot: vs[1]})
	source.step(0, Loaded{Snapshot: vs[3]})
	source.connectPeer(0, "self", vs[2].Ref(), true, 0)
	s.step(0, Loaded{Snapshot: vs[1]})
	s.step(0, Loaded{Snapshot: vs[2]})
	s.connectPeer(0, "p1", vs[3].Ref(), true, 0)
	source.receive(0, "self", sent[*message.Fetch](s)[0])
	s.receive(0, "p1", sent[*message.Delta](source)[0])
	must.Eq(t, vs[3].Ref(), s.c.Held().Ref())
}

// TestReaderPrefersPeers checks that the reader loads a version from the
// platform only when no peer offers it, and that PlatformOK is not set in a
// beacon without a recent read of the platform.
func TestReaderPrefersPeers(t *testing.T) {
	t.Parallel()
	vs := versions(t, 2)
	s := newSingleCore(t, DefaultConfig())
	loads := 0
	var beacon *message.Beacon
	s.onAction = func(a core.Action) {
		if _, load := a.(LoadVersion); load {
			loads++
		}
		if b := sent[*message.Beacon](s); len(b) > 0 {
			beacon = b[0]
		}
	}
	s.step(0, Loaded{Snapshot: vs[1]})
	s.connectPeer(0, "p1", vs[2].Ref(), true, 0)
	s.step(0, LeaseChanged{Held: true, Term: 1})
	s.step(0, HeadRead{Ref: vs[2].Ref()})
	must.Eq(t, 0, loads)
	s.idle(300 * time.Millisecond)
	must.True(t, beacon.PlatformOK)
	s.idle(3 * time.Second) // the next read gets no answer
	must.False(t, beacon.PlatformOK)
	s.step(s.elapsed, core.PeerDown{Node: "p1"})
	must.Eq(t, 1, loads)
}

func TestHeldVersionsAreBounded(t *testing.T) {
	t.Parallel()
	cfg := DefaultConfig()
	cfg.MaxRemembered = 10
	m := newHeldVersions(cfg)
	for k := range 30 {
		m.update(at(time.Duration(k)*time.Second), model.NodeKey(k), 5)
	}
	must.MapLen(t, 10, m.nodes)
	m.update(at(cfg.RememberFor), 29, 4)
	must.Eq(t, 5, m.version(29))
	m.expire(at(cfg.RememberFor+time.Minute), nil)
	must.MapLen(t, 1, m.nodes)
}
