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

// row is nodes in a row whose events come as they do in life: messages take 5 ms, ticks
// come each 100 ms, and readers read one time after the other.
type row struct {
	now     time.Time
	cores   []*Core
	proofs  []*Proof
	readers map[int]time.Time // when the read under way began
	// wait is how long a reader's read takes without a change.
	wait func(reader int) time.Duration
	cut  map[[2]int]bool
	way  []passing
	// sent counts the messages over each link, and bytes all that was sent.
	sent  map[[2]int]int
	bytes int
	// least is the least time left that each node has had.
	least []time.Duration
}

type passing struct {
	from, to int
	due      time.Time
	message  message.Message
}

// newRow returns nodes of which each is linked with the next.
func newRow(n int, readers ...int) *row {
	r := newUnlinked(n)
	for i := range n - 1 {
		r.up(i, i+1)
	}
	r.begin(readers)
	return r
}

// newRing returns nodes on a ring of which each has two more links to any others.
func newRing(n int, readers ...int) *row {
	r := newUnlinked(n)
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		r.up(i, (i+1)%n)
		for range 2 {
			if j := rng.IntN(n); j != i {
				r.up(i, j)
			}
		}
	}
	r.begin(readers)
	return r
}

// begin lets the readers read for the first time.
func (r *row) begin(readers []int) {
	for _, i := range readers {
		r.step(i, Read{Began: r.now, Version: 1})
		r.readers[i] = r.now
	}
}

func newUnlinked(n int) *row {
	r := &row{
		now: time.Unix(1000, 0), readers: make(map[int]time.Time), cut: make(map[[2]int]bool), sent: make(map[[2]int]int),
		wait: func(int) time.Duration { return bound / readsPerBound },
	}
	clock := func() time.Time { return r.now }
	for i := range n {
		r.cores = append(r.cores, New(DefaultConfig(bound), uint64(i)))
		r.proofs = append(r.proofs, NewProof(DefaultConfig(bound), clock))
		r.least = append(r.least, math.MaxInt64)
		r.step(i, InForce{Version: 1})
	}
	return r
}

func (r *row) up(i, j int) {
	r.step(i, core.PeerUp{Record: endpoint.Record{Node: id(j)}})
	r.step(j, core.PeerUp{Record: endpoint.Record{Node: id(i)}})
}

func (r *row) step(i int, ev core.Event) {
	for _, a := range r.cores[i].Step(r.now, ev) {
		switch a := a.(type) {
		case Changed:
			r.proofs[i].Publish(a)
		case core.Send:
			j, err := strconv.Atoi(strings.TrimPrefix(string(a.To), "n"))
			if err != nil {
				panic(err)
			}
			b, err := message.Encode(a.Message)
			if err != nil {
				panic(err)
			}
			r.sent[[2]int{i, j}]++
			r.bytes += len(b)
			r.way = append(r.way, passing{i, j, r.now.Add(5 * time.Millisecond), a.Message})
		}
	}
}

// run lets time pass and notes the least time left.
func (r *row) run(d time.Duration) {
	for ms := range int(d / time.Millisecond) {
		r.now = r.now.Add(time.Millisecond)
		r.arrive()
		for i, began := range r.readers {
			if r.now.Sub(began) >= r.wait(i) {
				r.readers[i] = r.now
				r.step(i, Read{Began: began, Version: 1})
			}
		}
		for i := range r.cores {
			if ms%100 == i*37%100 {
				r.step(i, core.Tick{})
			}
			r.least[i] = min(r.least[i], r.proofs[i].Left())
		}
	}
}

func (r *row) arrive() {
	way := r.way
	r.way = nil
	for _, p := range way {
		switch {
		case r.cut[[2]int{p.from, p.to}] || p.due.After(r.now):
			r.way = append(r.way, p)
		default:
			r.step(p.to, core.Received{From: id(p.from), Message: p.message})
		}
	}
}

// settle runs until proofs are everywhere, and forgets what was noted.
func (r *row) settle() {
	r.run(3 * time.Second)
	for i := range r.least {
		r.least[i] = math.MaxInt64
	}
	clear(r.sent)
	r.bytes = 0
}

// The reads of a single reader reach the end of a chain of five with two seconds left just
// before the next one, at two messages a second and link at most.
func TestChainKeepsItsProofWhileAllIsCalm(t *testing.T) {
	r := newRow(5, 0)
	r.settle()
	const calm = 2 * time.Minute
	r.run(calm)
	must.Greater(t, 2*time.Second, slices.Min(r.least))
	for link, n := range r.sent {
		must.LessEq(t, 2*calm.Seconds(), float64(n), must.Sprint(link))
	}
	t.Log("least left", r.least, "messages", r.sent, "bytes", r.bytes)
}

// Readers that read at different times at all places: a link must not carry each read.
func TestManyReadersCostNoMoreMessages(t *testing.T) {
	r := newRow(5, 0, 1, 2, 3, 4)
	r.wait = func(i int) time.Duration { return 900*time.Millisecond + time.Duration(i)*70*time.Millisecond }
	r.settle()
	const calm = 2 * time.Minute
	r.run(calm)
	must.Greater(t, 2*time.Second, slices.Min(r.least))
	for i := range 4 {
		both := r.sent[[2]int{i, i + 1}] + r.sent[[2]int{i + 1, i}]
		must.LessEq(t, 2*calm.Seconds(), float64(both))
	}
	t.Log("least left", r.least, "messages", r.sent, "bytes", r.bytes)
}

// What a node sends doesn't grow with the fleet, and each has a young proof.
func TestLargeFleetsPassProofsOnAtTheSameCost(t *testing.T) {
	for _, n := range []int{62, 300} {
		r := newRing(n, 0, n/6, n/3, n/2, 2*n/3, 5*n/6)
		r.wait = func(i int) time.Duration { return 940*time.Millisecond + time.Duration(i%7)*50*time.Millisecond }
		r.settle()
		const calm = 30 * time.Second
		r.run(calm)
		total := 0
		for _, sent := range r.sent {
			total += sent
		}
		each := float64(total) / float64(n) / calm.Seconds()
		must.Greater(t, 2*time.Second, slices.Min(r.least))
		must.Less(t, 7, each)
		t.Log(n, "nodes: least left", slices.Min(r.least), "messages a second and node", each, "bytes", float64(r.bytes)/float64(n)/calm.Seconds())
	}
}

func TestNodeThatTheStoreTurnsAwayStaysProvedByAPeer(t *testing.T) {
	r := newRow(2, 0, 1)
	r.settle()
	delete(r.readers, 1)
	r.run(time.Minute)
	must.Greater(t, 2*time.Second, r.least[1])
}

func TestNodeThatIsCutOffStopsInTimeAndGoesOnAfterwards(t *testing.T) {
	r := newRow(3, 0)
	r.settle()
	for _, link := range [][2]int{{0, 1}, {1, 0}} {
		r.cut[link] = true
	}
	cutAt := r.now
	for r.proofs[1].Left() > 0 {
		r.run(time.Millisecond)
	}
	must.LessEq(t, bound, r.now.Sub(cutAt))
	must.False(t, r.proofs[1].Recent())
	r.run(10 * time.Second)
	must.LessEq(t, 0, r.proofs[2].Left(), must.Sprint("the two that are left prove nothing to each other"))
	clear(r.cut) // what lay in the link arrives first
	r.run(2 * time.Second)
	must.Positive(t, r.proofs[1].Left())
	must.Positive(t, r.proofs[2].Left())
}

// A node that starts has a proof within two ways of its first link.
func TestStartedNodeIsProvedAtOnce(t *testing.T) {
	r := newRow(3, 0)
	r.settle()
	r.cores = append(r.cores, New(DefaultConfig(bound), 9))
	r.proofs = append(r.proofs, NewProof(DefaultConfig(bound), func() time.Time { return r.now }))
	r.least = append(r.least, math.MaxInt64)
	must.LessEq(t, 0, r.proofs[3].Left())
	must.False(t, r.proofs[3].Recent())
	r.step(3, InForce{Version: 1})
	r.up(2, 3)
	r.run(20 * time.Millisecond)
	must.Positive(t, r.proofs[3].Left())
}

// A process or host that stood still finds its proof aged, if its clock went on; by one
// that stood still with it the proof would be as good as before.
func TestFrozenNodeWakesUpWithoutProof(t *testing.T) {
	r := newRow(2, 0)
	r.settle()
	stood := r.now
	stopped := NewProof(DefaultConfig(bound), func() time.Time { return stood })
	stopped.Publish(Changed{Moment: r.cores[1].counted.moment})
	r.now = r.now.Add(bound)
	must.LessEq(t, 0, r.proofs[1].Left())
	must.Positive(t, stopped.Left(), must.Sprint("what a clock that stands still would say"))
	r.arrive() // what was sent before
	must.LessEq(t, 0, r.proofs[1].Left())
}

var at = time.Unix(1000, 0)

// alone is a core that holds version 3 and has a peer, whose greeting has stamp 50.
func alone(t *testing.T) (*Core, *message.Freshness) {
	c := New(DefaultConfig(bound), 1)
	c.Step(at, InForce{Version: 3})
	out := c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p"}})
	must.Len(t, 1, out)
	greeting := out[0].(core.Send).Message.(*message.Freshness)
	must.Eq(t, 0, greeting.Version)
	c.Step(at, core.Received{From: "p", Message: &message.Freshness{Stamp: 50}})
	return c, greeting
}

func TestOnlyProofsThatCanBeTrueAreTaken(t *testing.T) {
	_, g := alone(t)
	for name, m := range map[string]message.Freshness{
		"no echo":           {Version: 3},
		"stamp of before":   {Version: 3, Echo: g.Stamp - 1},
		"stamp to come":     {Version: 3, Echo: g.Stamp + 1},
		"any stamp":         {Version: 3, Echo: math.MaxUint64},
		"in the future":     {Version: 3, Echo: g.Stamp, Offset: 1001},
		"too far":           {Version: 3, Echo: g.Stamp, Offset: -30_001},
		"wide offset":       {Version: 3, Echo: g.Stamp, Offset: math.MinInt64},
		"wide offset ahead": {Version: 3, Echo: g.Stamp, Offset: math.MaxInt64},
		"an older version":  {Version: 2, Echo: g.Stamp},
		"a version to come": {Version: 4, Echo: g.Stamp},
		"no version":        {Echo: g.Stamp},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := alone(t)
			c.Step(at, Read{Began: at.Add(-time.Minute), Version: 0, Life: 1})
			now := at.Add(time.Second)
			c.Step(now, core.Received{From: "p", Message: &m})
			must.True(t, c.counted.moment.IsZero())
		})
	}
	c, _ := alone(t)
	m := message.Freshness{Version: 3, Echo: g.Stamp, Offset: 990}
	must.Eq(t, nil, c.Step(at, core.Received{From: "stranger", Message: &m}))
	c.Step(at.Add(time.Second), core.Received{From: "p", Message: &m})
	must.Eq(t, at.Add(990*time.Millisecond), c.counted.moment)
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
	for v := uint64(2); v < 20; v++ { // more than fit
		step(Read{Began: at.Add(time.Duration(v) * time.Millisecond), Version: v})
		must.Eq(t, left, p.Left())
		must.False(t, p.Recent(), must.Sprint("a key may be one of the newer version"))
	}
	must.LessEq(t, maxWaiting, len(c.waiting))
	step(InForce{Version: 3})
	must.Eq(t, left+3*time.Millisecond, p.Left())
	must.False(t, p.Recent())
	step(InForce{Version: 19})
	must.Greater(t, left+3*time.Millisecond, p.Left())
	must.True(t, p.Recent())
}

func TestStoreThatCameBackProvesNothingUntilItIsSettled(t *testing.T) {
	for name, told := range map[string]struct {
		ev   core.Event
		life uint64
	}{
		"event":  {Met{Life: 2}, 2},
		"beacon": {core.Received{From: "p", Message: &message.ReaderBeacon{Reader: "p", Life: 2}}, 2},
		"read":   {Read{Began: at.Add(time.Second), Version: 3, Life: 2}, 2},
		"peer":   {core.Received{From: "p", Message: &message.Freshness{Stamp: 60, Life: 2}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := alone(t)
			c.Step(at, Read{Began: at, Version: 3, Life: 1})
			must.Eq(t, at, c.counted.moment)
			c.Step(at.Add(time.Second), told.ev)
			c.Step(at.Add(4*time.Second), Read{Began: at.Add(2999 * time.Millisecond), Version: 3, Life: told.life})
			must.Eq(t, at, c.counted.moment)
			c.Step(at.Add(4*time.Second), Read{Began: at.Add(3 * time.Second), Version: 3, Life: told.life})
			must.Eq(t, at.Add(3*time.Second), c.counted.moment)
		})
	}
}

// A node whose first read is of the next life knows from elsewhere that there was one before.
func TestLifeThatAnotherCallHasToldIsNotTheFirst(t *testing.T) {
	for name, ev := range map[string]core.Event{
		"call":   Met{Life: 1},
		"beacon": core.Received{From: "p", Message: &message.ReaderBeacon{Reader: "p", Life: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := alone(t)
			c.Step(at, ev)
			c.Step(at.Add(time.Second), Read{Began: at.Add(time.Second), Version: 3, Life: 2})
			must.True(t, c.counted.moment.IsZero())
		})
	}
}

// Each life is waited for once, however many tell of it.
func TestLifeThatIsToldAgainDoesntProlongTheWait(t *testing.T) {
	c, _ := alone(t)
	c.Step(at, Met{Life: 1})
	c.Step(at, Met{Life: 2})
	c.Step(at.Add(time.Second), Met{Life: 2})
	c.Step(at.Add(time.Second), Read{Began: at.Add(time.Second), Version: 3, Life: 2})
	c.Step(at.Add(2*time.Second), Read{Began: at.Add(2 * time.Second), Version: 3, Life: 2})
	must.Eq(t, at.Add(2*time.Second), c.counted.moment)
}

// Reads hurry while the proof is late, but not for ever.
func TestReadsHurryWhileTheProofIsLate(t *testing.T) {
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

// A clock that has gone back tells nothing of how old a proof is.
func TestClockThatWentBackProvesNothing(t *testing.T) {
	now := at
	p := NewProof(DefaultConfig(bound), func() time.Time { return now })
	p.Publish(Changed{Moment: at})
	must.Positive(t, p.Left())
	now = at.Add(-time.Nanosecond)
	must.LessEq(t, 0, p.Left())
	must.False(t, p.Recent())
}

// The store comes back older: reads prove nothing for two seconds, and the next one does
// before the proof has run out.
func TestReaderStaysProvedWhileTheStoreSettles(t *testing.T) {
	r := newRow(3, 0)
	r.wait = func(i int) time.Duration { return r.proofs[i].ReadWait() }
	r.settle()
	r.step(0, Met{Life: 1})
	r.step(0, Met{Life: 2})
	r.run(10 * time.Second)
	must.Positive(t, slices.Min(r.least))
}

// A peer may have lost what this side keeps of a link, and can send no proof before it has a
// stamp again.
func TestPeerThatHasNoStampGetsOneAtOnce(t *testing.T) {
	c, g := alone(t)
	must.SliceEmpty(t, c.Step(at.Add(time.Second), core.Received{From: "p", Message: &message.Freshness{Stamp: 1050, Echo: g.Stamp}}))
	out := c.Step(at.Add(2*time.Second), core.Received{From: "p", Message: &message.Freshness{Stamp: 2050}})
	must.Len(t, 1, out)
	answer := out[0].(core.Send).Message.(*message.Freshness)
	must.Eq(t, g.Stamp+2000, answer.Stamp)
	must.Eq(t, 2050, answer.Echo, must.Sprint("it needs no stamp"))
}

// A second connection to the same process must not forget what the first one has brought.
func TestSecondConnectionChangesNothing(t *testing.T) {
	c, _ := alone(t)
	must.Eq(t, nil, c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p"}}))
	must.Len(t, 1, c.Step(at, core.PeerUp{Record: endpoint.Record{Node: "p", Incarnation: 1}}))
	c.Step(at, core.PeerDown{Node: model.NodeID("p")})
	must.MapEmpty(t, c.peers)
}
