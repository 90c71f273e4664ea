package freshness

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// fleet simulates linked nodes with realistic timing: messages take 5 ms, each node gets a
// Tick every 100 ms, and readers make one read after the other.
type fleet struct {
	now     time.Time
	cores   []*Core
	proofs  []*Proof
	readers map[int]time.Time // start of the read in progress of each reader
	// wait returns how long a reader's read takes without a change.
	wait func(reader int) time.Duration
	// cut are the links on which messages are held back, by sender and receiver.
	cut       map[[2]int]bool
	inTransit []transit
	// sent counts the messages sent over each link, and bytes the size of all messages.
	sent  map[[2]int]int
	bytes int
	// minLeft is the minimum of Left seen at each node.
	minLeft []time.Duration
}

// transit is a message in transit.
type transit struct {
	from, to int
	due      time.Time
	message  message.Message
}

// newChain returns a chain of n nodes, each linked with the next.
func newChain(n int, readers ...int) *fleet {
	f := newFleet(n)
	for i := range n - 1 {
		f.connect(i, i+1)
	}
	f.startReaders(readers)
	return f
}

// newRing returns a ring of n nodes, each with two more links to random other nodes.
func newRing(n int, readers ...int) *fleet {
	f := newFleet(n)
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		f.connect(i, (i+1)%n)
		for range 2 {
			if j := rng.IntN(n); j != i {
				f.connect(i, j)
			}
		}
	}
	f.startReaders(readers)
	return f
}

// startReaders completes the first read of each reader and starts the next.
func (f *fleet) startReaders(readers []int) {
	for _, i := range readers {
		f.step(i, Read{Began: f.now, Version: 1})
		f.readers[i] = f.now
	}
}

// newFleet returns n nodes without links that hold version 1.
func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), readers: make(map[int]time.Time), cut: make(map[[2]int]bool), sent: make(map[[2]int]int),
		wait: func(int) time.Duration { return bound / readsPerBound },
	}
	clock := func() time.Time { return f.now }
	for i := range n {
		f.cores = append(f.cores, New(DefaultConfig(bound), uint64(i)))
		f.proofs = append(f.proofs, NewProof(DefaultConfig(bound), clock))
		f.minLeft = append(f.minLeft, math.MaxInt64)
		f.step(i, InForce{Version: 1})
	}
	return f
}

func (f *fleet) connect(i, j int) {
	f.step(i, core.PeerUp{Record: endpoint.Record{Node: id(j)}})
	f.step(j, core.PeerUp{Record: endpoint.Record{Node: id(i)}})
}

func (f *fleet) step(i int, ev core.Event) {
	for _, a := range f.cores[i].Step(f.now, ev) {
		switch a := a.(type) {
		case Changed:
			f.proofs[i].Publish(a)
		case core.Send:
			j, err := strconv.Atoi(strings.TrimPrefix(string(a.To), "n"))
			if err != nil {
				panic(err)
			}
			b, err := message.Encode(a.Message)
			if err != nil {
				panic(err)
			}
			f.sent[[2]int{i, j}]++
			f.bytes += len(b)
			f.inTransit = append(f.inTransit, transit{i, j, f.now.Add(5 * time.Millisecond), a.Message})
		}
	}
}

// run advances the simulation by d and records the minimum of Left.
func (f *fleet) run(d time.Duration) {
	for ms := range int(d / time.Millisecond) {
		f.now = f.now.Add(time.Millisecond)
		f.deliverDue()
		for i, began := range f.readers {
			if f.now.Sub(began) >= f.wait(i) {
				f.readers[i] = f.now
				f.step(i, Read{Began: began, Version: 1})
			}
		}
		for i := range f.cores {
			if ms%100 == i*37%100 {
				f.step(i, core.Tick{})
			}
			f.minLeft[i] = min(f.minLeft[i], f.proofs[i].Left())
		}
	}
}

// deliverDue delivers the messages that are due, except on links that are cut.
func (f *fleet) deliverDue() {
	messages := f.inTransit
	f.inTransit = nil
	for _, p := range messages {
		switch {
		case f.cut[[2]int{p.from, p.to}] || p.due.After(f.now):
			f.inTransit = append(f.inTransit, p)
		default:
			f.step(p.to, core.Received{From: id(p.from), Message: p.message})
		}
	}
}

// settle runs until all nodes have proofs, and then resets the recorded figures.
func (f *fleet) settle() {
	f.run(3 * time.Second)
	for i := range f.minLeft {
		f.minLeft[i] = math.MaxInt64
	}
	clear(f.sent)
	f.bytes = 0
}

// The proofs of a single reader reach the end of a chain of five nodes with more than two
// seconds left at any time, at two messages per second and link at most.
func TestChainKeepsProofInSteadyState(t *testing.T) {
	f := newChain(5, 0)
	f.settle()
	const duration = 2 * time.Minute
	f.run(duration)
	must.Greater(t, 2*time.Second, slices.Min(f.minLeft))
	for link, n := range f.sent {
		must.LessEq(t, 2*duration.Seconds(), float64(n), must.Sprint(link))
	}
	t.Log("minimum left", f.minLeft, "messages", f.sent, "bytes", f.bytes)
}

// All nodes are readers and read at different times: a link must not carry every read.
func TestManyReadersCostNoMoreMessages(t *testing.T) {
	f := newChain(5, 0, 1, 2, 3, 4)
	f.wait = func(i int) time.Duration { return 900*time.Millisecond + time.Duration(i)*70*time.Millisecond }
	f.settle()
	const duration = 2 * time.Minute
	f.run(duration)
	must.Greater(t, 2*time.Second, slices.Min(f.minLeft))
	for i := range 4 {
		bothWays := f.sent[[2]int{i, i + 1}] + f.sent[[2]int{i + 1, i}]
		must.LessEq(t, 2*duration.Seconds(), float64(bothWays))
	}
	t.Log("minimum left", f.minLeft, "messages", f.sent, "bytes", f.bytes)
}

// The number of messages per node doesn't grow with the fleet, and all nodes have recent
// proofs.
func TestMessagesPerNodeDoNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{62, 300} {
		f := newRing(n, 0, n/6, n/3, n/2, 2*n/3, 5*n/6)
		f.wait = func(i int) time.Duration { return 940*time.Millisecond + time.Duration(i%7)*50*time.Millisecond }
		f.settle()
		const duration = 30 * time.Second
		f.run(duration)
		total := 0
		for _, sent := range f.sent {
			total += sent
		}
		perNode := float64(total) / float64(n) / duration.Seconds()
		must.Greater(t, 2*time.Second, slices.Min(f.minLeft))
		must.Less(t, 7, perNode)
		t.Log(n, "nodes: minimum left", slices.Min(f.minLeft), "messages per second and node", perNode, "bytes", float64(f.bytes)/float64(n)/duration.Seconds())
	}
}

func TestNodeRejectedByStoreKeepsProofFromPeer(t *testing.T) {
	f := newChain(2, 0, 1)
	f.settle()
	delete(f.readers, 1)
	f.run(time.Minute)
	must.Greater(t, 2*time.Second, f.minLeft[1])
}

func TestPartitionedNodeExpiresInTimeAndRecovers(t *testing.T) {
	f := newChain(3, 0)
	f.settle()
	for _, link := range [][2]int{{0, 1}, {1, 0}} {
		f.cut[link] = true
	}
	cutAt := f.now
	for f.proofs[1].Left() > 0 {
		f.run(time.Millisecond)
	}
	must.LessEq(t, bound, f.now.Sub(cutAt))
	must.False(t, f.proofs[1].Recent())
	f.run(10 * time.Second)
	must.LessEq(t, 0, f.proofs[2].Left(), must.Sprint("the two cut-off nodes must not renew each other's proofs"))
	clear(f.cut) // the messages held back on the link arrive first
	f.run(2 * time.Second)
	must.Positive(t, f.proofs[1].Left())
	must.Positive(t, f.proofs[2].Left())
}

// A started node has a proof within two transits of its first link, one in each direction.
func TestStartedNodeGetsProofAtOnce(t *testing.T) {
	f := newChain(3, 0)
	f.settle()
	f.cores = append(f.cores, New(DefaultConfig(bound), 9))
	f.proofs = append(f.proofs, NewProof(DefaultConfig(bound), func() time.Time { return f.now }))
	f.minLeft = append(f.minLeft, math.MaxInt64)
	must.LessEq(t, 0, f.proofs[3].Left())
	must.False(t, f.proofs[3].Recent())
	f.step(3, InForce{Version: 1})
	f.connect(2, 3)
	f.run(20 * time.Millisecond)
	must.Positive(t, f.proofs[3].Left())
}

// When a process or host resumes after a suspension, its proof has aged if its clock kept
// running. By a clock that stopped too, the proof would still be valid.
func TestProofExpiresWhileNodeIsFrozen(t *testing.T) {
	f := newChain(2, 0)
	f.settle()
	suspendedAt := f.now
	stoppedClock := NewProof(DefaultConfig(bound), func() time.Time { return suspendedAt })
	stoppedClock.Publish(Changed{Moment: f.cores[1].current.moment})
	f.now = f.now.Add(bound)
	must.LessEq(t, 0, f.proofs[1].Left())
	must.Positive(t, stoppedClock.Left(), must.Sprint("by a clock that stopped, the proof must be valid"))
	f.deliverDue() // messages sent before the suspension
	must.LessEq(t, 0, f.proofs[1].Left())
}

var at = time.Unix(1000, 0)

// newCoreWithPeer returns a core that holds version 3 and has one peer, whose first message
// has stamp 50, and the core's first message to that peer.
func newCoreWithPeer(t *testing.T) (*Core, *message.Freshness) {
	c := New(DefaultConfig(bound), 1)
	c.Step(at, InForce{Version: 3})
	out := c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p"}})
	must.Len(t, 1, out)
	first := out[0].(core.Send).Message.(*message.Freshness)
	must.Eq(t, 0, first.Version)
	c.Step(at, core.Received{From: "p", Message: &message.Freshness{Stamp: 50}})
	return c, first
}

func TestImpossibleProofsAreRejected(t *testing.T) {
	_, g := newCoreWithPeer(t)
	for name, m := range map[string]message.Freshness{
		"no echo":            {Version: 3},
		"stamp before first": {Version: 3, Echo: g.Stamp - 1},
		"stamp not sent yet": {Version: 3, Echo: g.Stamp + 1},
		"any stamp":          {Version: 3, Echo: math.MaxUint64},
		"in the future":      {Version: 3, Echo: g.Stamp, Offset: 1001},
		"too old":            {Version: 3, Echo: g.Stamp, Offset: -30_001},
		"wide offset":        {Version: 3, Echo: g.Stamp, Offset: math.MinInt64},
		"wide offset ahead":  {Version: 3, Echo: g.Stamp, Offset: math.MaxInt64},
		"older version":      {Version: 2, Echo: g.Stamp},
		"future version":     {Version: 4, Echo: g.Stamp},
		"no version":         {Echo: g.Stamp},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newCoreWithPeer(t)
			c.Step(at, Read{Began: at.Add(-time.Minute), Version: 0, Epoch: 1})
			now := at.Add(time.Second)
			c.Step(now, core.Received{From: "p", Message: &m})
			must.True(t, c.current.moment.IsZero())
		})
	}
	c, _ := newCoreWithPeer(t)
	m := message.Freshness{Version: 3, Echo: g.Stamp, Offset: 990}
	must.Eq(t, nil, c.Step(at, core.Received{From: "stranger", Message: &m}))
	c.Step(at.Add(time.Second), core.Received{From: "p", Message: &m})
	must.Eq(t, at.Add(990*time.Millisecond), c.current.moment)
}

func TestProofWaitsForItsVersion(t *testing.T) {
	c := New(DefaultConfig(bound), 1)
	p := NewProof(c.cfg, func() time.Time { return at.Add(2 * time.Second) })
	step := func(ev core.Event) {
		for _, a := range c.Step(at.Add(2*time.Second), ev) {
			p.Publish(a.(Changed))
		}
	}
	step(InForce{Version: 1})
	step(Read{Began: at, Version: 1})
	must.True(t, p.Recent())
	left := p.Left()
	for v := uint64(2); v < 20; v++ { // more than maxPending
		step(Read{Began: at.Add(time.Duration(v) * time.Millisecond), Version: v})
		must.Eq(t, left, p.Left())
		must.False(t, p.Recent(), must.Sprint("an unknown key may belong to the newer version"))
	}
	must.LessEq(t, maxPending, len(c.pending))
	step(InForce{Version: 3})
	must.Eq(t, left+3*time.Millisecond, p.Left())
	must.False(t, p.Recent())
	step(InForce{Version: 19})
	must.Greater(t, left+3*time.Millisecond, p.Left())
	must.True(t, p.Recent())
}

func TestReadsProveNothingUntilRestoredStoreSettles(t *testing.T) {
	for name, tc := range map[string]struct {
		ev    core.Event
		epoch uint64
	}{
		"event":  {EpochSeen{Epoch: 2}, 2},
		"beacon": {core.Received{From: "p", Message: &message.ReaderBeacon{Reader: "p", Epoch: 2}}, 2},
		"read":   {Read{Began: at.Add(time.Second), Version: 3, Epoch: 2}, 2},
		"peer":   {core.Received{From: "p", Message: &message.Freshness{Stamp: 60, Epoch: 2}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newCoreWithPeer(t)
			c.Step(at, Read{Began: at, Version: 3, Epoch: 1})
			must.Eq(t, at, c.current.moment)
			c.Step(at.Add(time.Second), tc.ev)
			c.Step(at.Add(4*time.Second), Read{Began: at.Add(2999 * time.Millisecond), Version: 3, Epoch: tc.epoch})
			must.Eq(t, at, c.current.moment)
			c.Step(at.Add(4*time.Second), Read{Began: at.Add(3 * time.Second), Version: 3, Epoch: tc.epoch})
			must.Eq(t, at.Add(3*time.Second), c.current.moment)
		})
	}
}

// A node whose first read returns the second epoch detects the restore if it has learned of
// the first epoch from another source.
func TestEpochFromAnotherSourceCountsAsFirst(t *testing.T) {
	for name, ev := range map[string]core.Event{
		"call":   EpochSeen{Epoch: 1},
		"beacon": core.Received{From: "p", Message: &message.ReaderBeacon{Reader: "p", Epoch: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newCoreWithPeer(t)
			c.Step(at, ev)
			c.Step(at.Add(time.Second), Read{Began: at.Add(time.Second), Version: 3, Epoch: 2})
			must.True(t, c.current.moment.IsZero())
		})
	}
}

// The settling time starts once per epoch, however often the epoch is reported.
func TestRepeatedEpochDoesNotExtendSettling(t *testing.T) {
	c, _ := newCoreWithPeer(t)
	c.Step(at, EpochSeen{Epoch: 1})
	c.Step(at, EpochSeen{Epoch: 2})
	c.Step(at.Add(time.Second), EpochSeen{Epoch: 2})
	c.Step(at.Add(time.Second), Read{Began: at.Add(time.Second), Version: 3, Epoch: 2})
	c.Step(at.Add(2*time.Second), Read{Began: at.Add(2 * time.Second), Version: 3, Epoch: 2})
	must.Eq(t, at.Add(2*time.Second), c.current.moment)
}

// Reads wait less while the proof is late, but not indefinitely.
func TestReadWaitIsShortWhileProofIsLate(t *testing.T) {
	now := at
	p := NewProof(DefaultConfig(bound), func() time.Time { return now })
	must.Eq(t, bound/4, p.ReadWait())
	p.Publish(Changed{Moment: at})
	for age, want := range map[time.Duration]time.Duration{
		0: bound / 4, bound / 2: bound / 4, bound/2 + 1: bound / 20, bound: bound / 20, 2 * bound: bound / 4,
	} {
		now = at.Add(age)
		must.Eq(t, want, p.ReadWait(), must.Sprint(age))
	}
}

// The age of a proof is unknown after the clock has gone back.
func TestBackwardClockInvalidatesProof(t *testing.T) {
	now := at
	p := NewProof(DefaultConfig(bound), func() time.Time { return now })
	p.Publish(Changed{Moment: at})
	must.Positive(t, p.Left())
	now = at.Add(-time.Nanosecond)
	must.LessEq(t, 0, p.Left())
	must.False(t, p.Recent())
}

// After a restore of the store from an older copy, reads prove nothing for two seconds. The
// next read must give a proof before the old one expires.
func TestReaderKeepsProofWhileRestoredStoreSettles(t *testing.T) {
	f := newChain(3, 0)
	f.wait = func(i int) time.Duration { return f.proofs[i].ReadWait() }
	f.settle()
	f.step(0, EpochSeen{Epoch: 1})
	f.step(0, EpochSeen{Epoch: 2})
	f.run(10 * time.Second)
	must.Positive(t, slices.Min(f.minLeft))
}

// A peer that has lost its state of the link can't send proofs until it gets a stamp again.
func TestPeerWithoutStampGetsOneAtOnce(t *testing.T) {
	c, g := newCoreWithPeer(t)
	must.SliceEmpty(t, c.Step(at.Add(time.Second), core.Received{From: "p", Message: &message.Freshness{Stamp: 1050, Echo: g.Stamp}}))
	out := c.Step(at.Add(2*time.Second), core.Received{From: "p", Message: &message.Freshness{Stamp: 2050}})
	must.Len(t, 1, out)
	reply := out[0].(core.Send).Message.(*message.Freshness)
	must.Eq(t, g.Stamp+2000, reply.Stamp)
	must.Eq(t, 2050, reply.Echo, must.Sprint("a nonzero echo shows that this side needs no stamp"))
}

// A second connection to the same process must not reset the state of the first one.
func TestSecondConnectionChangesNothing(t *testing.T) {
	c, _ := newCoreWithPeer(t)
	must.Eq(t, nil, c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p"}}))
	must.Len(t, 1, c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p", Incarnation: 1}}))
	c.Step(at, core.PeerDown{Node: model.NodeID("p")})
	must.MapEmpty(t, c.peers)
}
