package docsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var begin = time.Unix(1_000_000, 0)

func record(id string, zone model.Zone) endpoint.Record {
	return endpoint.Record{Node: model.NodeID(id), Zone: zone, Incarnation: 1}
}

// harness drives one core under virtual time.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Time
	out  []core.Action
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, core: New(DefaultConfig(), record("self", "z1"), 1), now: begin}
	h.step(core.Tick{})
	return h
}

func (h *harness) step(ev core.Event) []core.Action {
	h.out = h.core.Step(h.now, ev)
	return h.out
}

// advance advances the time in ticks of 100 ms and returns all actions.
func (h *harness) advance(d time.Duration) []core.Action {
	var all []core.Action
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		all = append(all, h.step(core.Tick{})...)
	}
	return all
}

func (h *harness) connect(id string, zone model.Zone) { h.step(core.PeerUp{Record: record(id, zone)}) }

func (h *harness) receive(from string, m message.Message) []core.Action {
	return h.step(core.Received{From: model.NodeID(from), Message: m})
}

// fetches returns the peers to which a DocumentFetch was sent.
func fetches(actions []core.Action) []string {
	var to []string
	for _, a := range actions {
		if s, ok := a.(core.Send); ok {
			if _, fetch := s.Message.(*message.DocumentFetch); fetch {
				to = append(to, string(s.To))
			}
		}
	}
	return to
}

// applied returns the versions that were applied.
func applied(actions []core.Action) []uint64 {
	var versions []uint64
	for _, a := range actions {
		if v, ok := a.(Apply); ok {
			versions = append(versions, v.Version)
		}
	}
	return versions
}

func TestNewerDocumentOfTheOwnZoneIsFetchedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	must.Eq(t, []string{"near"}, fetches(h.receive("near", &message.DocumentAdvert{Version: 3})))
}

// Guards against adverts that restart CrossZoneFetchDelay. With a new version every 260 ms, and a store
// that refused the readers of two of three zones, each advert from the third zone restarted the
// delay, and the two zones stayed behind for seconds.
func TestDocumentOfAnotherZoneIsFetchedWhileVersionsFollowQuickly(t *testing.T) {
	h := newHarness(t)
	h.step(StoreRead{Version: 1, Body: []byte("1")})
	h.connect("far", "z2")
	var sources []string
	for v := uint64(2); v < 7; v++ {
		sources = append(sources, fetches(h.receive("far", &message.DocumentAdvert{Version: v}))...)
		sources = append(sources, fetches(h.advance(200*time.Millisecond))...)
	}
	must.SliceContains(t, sources, "far")
}

func TestStartedNodePrefersTheStore(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	must.Eq(t, nil, applied(h.receive("near", &message.Document{Version: 3, Body: []byte("3")})))
	must.Eq(t, []uint64{5}, applied(h.step(StoreRead{Version: 5, Body: []byte("5")})))
}

func TestStartedNodeAppliesAPeersDocumentWhenTheStoreIsUnavailable(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.receive("near", &message.Document{Version: 3, Body: []byte("3")})
	h.step(StoreRead{Err: fmt.Errorf("away")})
	must.Eq(t, []uint64{3}, applied(h.advance(1200*time.Millisecond)))
}

// Guards against a read of the store by each node of a site that starts for the first time. No node
// has applied a newer document there, so a later node can apply the document of an earlier one. Of
// the 885 calls to the store in the first start of 295 hosts, 295 were such reads.
func TestNodeOfANewSiteAppliesAPeersDocumentWithoutReading(t *testing.T) {
	cfg := DefaultConfig()
	cfg.FirstStart, cfg.ReadDelay = true, 500*time.Millisecond
	h := &harness{t: t, core: New(cfg, record("self", "z1"), 1), now: begin}
	h.step(core.Tick{})
	h.step(Members{Live: []model.NodeID{"a", "b", "c", "self"}})
	h.connect("a", "z1")
	must.Eq(t, []uint64{3}, applied(h.receive("a", &message.Document{Version: 3, Body: []byte("3")})))
	h.receive("a", &message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: 1})
	h.advance(time.Second)
	must.False(t, h.core.Reading())
}

func TestNodeOfANewSiteReadsWhenNoPeerHasTheDocument(t *testing.T) {
	cfg := DefaultConfig()
	cfg.FirstStart, cfg.ReadDelay = true, 500*time.Millisecond
	h := &harness{t: t, core: New(cfg, record("self", "z1"), 1), now: begin}
	h.step(core.Tick{})
	h.advance(400 * time.Millisecond)
	must.False(t, h.core.Reading())
	h.advance(200 * time.Millisecond)
	must.True(t, h.core.Reading())
}

func TestVersionsNeverDecrease(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.step(StoreRead{Version: 5, Body: []byte("5")})
	must.Eq(t, nil, applied(h.receive("near", &message.Document{Version: 4, Body: []byte("4")})))
	must.Eq(t, nil, applied(h.step(StoreRead{Version: 4, Body: []byte("4")})))
	must.Eq(t, 5, h.core.Held())
}

func TestRejectedDocumentIsNotFetchedAgain(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.step(StoreRead{Version: 5, Body: []byte("5")})
	h.step(Rejected{Version: 6})
	must.Eq(t, nil, fetches(h.receive("near", &message.DocumentAdvert{Version: 6})))
	must.Eq(t, []string{"near"}, fetches(h.receive("near", &message.DocumentAdvert{Version: 7})))
}

func TestFetchIsSentToAnotherPeerAfterATimeout(t *testing.T) {
	h := newHarness(t)
	h.connect("near1", "z1")
	h.connect("near2", "z1")
	h.receive("near1", &message.DocumentAdvert{Version: 3})
	h.receive("near2", &message.DocumentAdvert{Version: 3})
	must.Eq(t, []string{"near2"}, fetches(h.advance(DefaultConfig().FetchTimeout)))
}

// Guards against requests that go to the same silent peers in turn while another peer has the document.
func TestFetchAsksEveryPeerBeforeItAsksOneAgain(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"a", "b", "c"} {
		h.connect(id, "z1")
	}
	h.connect("A-far", "z2") // sorts before the others
	var asked []string
	for _, id := range []string{"a", "b", "c", "A-far"} {
		asked = append(asked, fetches(h.receive(id, &message.DocumentAdvert{Version: 3}))...)
	}
	for range 4 {
		asked = append(asked, fetches(h.advance(DefaultConfig().FetchTimeout))...)
	}
	must.Eq(t, []string{"a", "b", "c", "A-far", "a"}, asked)
}

// Guards against waiting for FetchTimeout when the connection to the source has ended.
func TestFetchIsSentToAnotherPeerWhenItsSourceDisconnects(t *testing.T) {
	h := newHarness(t)
	h.connect("near1", "z1")
	h.connect("near2", "z1")
	h.receive("near1", &message.DocumentAdvert{Version: 3})
	h.receive("near2", &message.DocumentAdvert{Version: 3})
	must.Eq(t, []string{"near2"}, fetches(h.step(core.PeerDown{Node: "near1"})))
}

// Guards against a node that never learns of a version because the only advert of it was lost.
func TestLostAdvertIsRepeatedUntilThePeerHoldsTheVersion(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	adverts := func(actions []core.Action) (versions []uint64) {
		for _, a := range actions {
			if s, ok := a.(core.Send); ok {
				if m, ok := s.Message.(*message.DocumentAdvert); ok {
					versions = append(versions, m.Version)
				}
			}
		}
		return versions
	}
	must.Eq(t, []uint64{3}, adverts(h.step(StoreRead{Version: 3, Body: []byte("3")})))
	must.Eq(t, []uint64{3, 3}, adverts(h.advance(2*DefaultConfig().AdvertRepeat)))
	must.Eq(t, nil, adverts(h.receive("near", &message.DocumentAdvert{Version: 3})))
	must.Eq(t, nil, adverts(h.advance(3*time.Second)), must.Sprint("the peer holds it"))
}

// Two nodes that got a version from a third one learn of each other that they hold it, and then stop
// advertising it.
func TestAdvertsOfOneVersionEnd(t *testing.T) {
	z := newZone(t, "a", "b", "c", "d")
	z.advance(5 * time.Second)
	z.adverts = 0
	z.advance(10 * time.Second)
	must.Eq(t, 0, z.adverts)
}

func TestReaderThatFailsIsReplaced(t *testing.T) {
	z := newZone(t, "a", "b", "c")
	z.advance(3 * time.Second)
	first := z.readers()
	must.Len(t, 1, first)
	z.failing[first[0]] = true
	z.advance(3 * time.Second)
	second := z.readers()
	must.Len(t, 1, second)
	must.NotEq(t, first, second)
	z.failing[first[0]] = false
	z.advance(4 * time.Second)
	must.Eq(t, first, z.readers(), must.Sprint("the first member reads again"))
}

// Guards against a zone without a working reader while the store fails to serve one host. With one
// reader in each zone, a store that stopped serving the readers of all three zones at once delayed a
// new version everywhere until their successors took over after 4.5 s.
func TestZoneKeepsAReaderWhileTheStoreFailsForOne(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Leaders = 2
	z := newZoneOf(t, cfg, "a", "b", "c", "d")
	z.advance(3 * time.Second)
	must.Len(t, 2, z.readers())
	z.failing[z.readers()[0]] = true
	for range 50 {
		z.advance(100 * time.Millisecond)
		serving := 0
		for _, id := range z.readers() {
			if !z.failing[id] {
				serving++
			}
		}
		must.Positive(t, serving)
	}
}

func TestOneMemberReadsAfterAStoreOutage(t *testing.T) {
	z := newZone(t, "a", "b", "c", "d")
	for id := range z.cores {
		z.failing[id] = true
	}
	z.advance(20 * time.Second)
	// Each member backs off between its reads: four nodes make at most four reads per RetryMin, and
	// far fewer once the backoff has doubled.
	must.Less(t, 200, z.reads)
	clear(z.failing)
	z.advance(5 * time.Second)
	must.Len(t, 1, z.readers())
}

// Guards against a takeover by each member of a zone in turn while the store is unavailable. In a
// fleet of 295 hosts, an outage of 8 s about doubled the calls of a day this way, to 5,576. The
// limit must not delay the first reads after the outage.
func TestReadsDuringAStoreOutageDontGrowWithTheZone(t *testing.T) {
	const outage = 8 * time.Second
	reads := func(members int) int {
		z, cfg := newLargeZone(t, members)
		z.advance(3 * time.Second)
		for id := range z.cores {
			z.failing[id] = true
		}
		before := z.reads
		z.advance(outage)
		during := z.reads - before
		clear(z.failing)
		before = z.reads
		z.advance(cfg.RetryMax * 3 / 2)
		must.Greater(t, before, z.reads, must.Sprint("the leaders must read soon after the outage"))
		z.advance(5 * time.Second)
		must.Len(t, 2, z.readers())
		return during
	}
	small, large := reads(10), reads(60)
	t.Log("reads in 8 s:", small, large)
	must.LessEq(t, 2*small, large)
	must.LessEq(t, 60, large)
}

// Guards against members that keep their long backoff after an outage. The backoff of a member whose
// read failed grows with the size of the zone; it must end when a reader's beacon is received, since
// the member may have to take over.
func TestMembersTakeOverSoonAfterAStoreOutage(t *testing.T) {
	z, _ := newLargeZone(t, 60)
	z.advance(3 * time.Second)
	for id := range z.cores {
		z.failing[id] = true
	}
	z.advance(20 * time.Second)
	clear(z.failing)
	z.advance(5 * time.Second)
	for range 10 { // one pair of leaders after the other crashes
		z.crash(z.readers()...)
		before := z.reads
		z.advance(500 * time.Millisecond)
		must.Greater(t, before, z.reads)
		must.Len(t, 2, z.readers())
	}
}

// The leaders may crash during a store outage. The members that become leaders must then read as
// soon after the outage as the former leaders would.
func TestNewLeadersReadSoonWhenTheLeadersCrashInAStoreOutage(t *testing.T) {
	z, cfg := newLargeZone(t, 60)
	z.advance(3 * time.Second)
	first := z.readers()
	for id := range z.cores {
		z.failing[id] = true
	}
	z.advance(20 * time.Second)
	z.crash(first...)
	clear(z.failing)
	z.advance(cfg.RetryMax + 200*time.Millisecond)
	must.Len(t, 2, z.readers())
}

// zone drives the cores of one zone, which are all connected to each other.
type zone struct {
	now     time.Time
	ids     []model.NodeID
	cores   map[model.NodeID]*Core
	reading map[model.NodeID]bool
	failing map[model.NodeID]bool // nodes whose reads fail
	reads   int                   // number of reads of the store
	empty   bool                  // the store holds no configuration
	starts  int                   // number of times that nodes turned reading on
	adverts int                   // number of adverts sent
}

func newZone(t *testing.T, names ...string) *zone {
	return newZoneOf(t, DefaultConfig(), names...)
}

// newLargeZone returns a zone with the given number of members, of which two lead.
func newLargeZone(t *testing.T, members int) (*zone, Config) {
	cfg := DefaultConfig()
	cfg.Leaders = 2
	names := make([]string, members)
	for i := range names {
		names[i] = fmt.Sprintf("node-%03d", i)
	}
	return newZoneOf(t, cfg, names...), cfg
}

func newZoneOf(t *testing.T, cfg Config, names ...string) *zone {
	t.Helper()
	z := &zone{
		now:     begin,
		cores:   make(map[model.NodeID]*Core),
		reading: make(map[model.NodeID]bool),
		failing: make(map[model.NodeID]bool),
	}
	for _, n := range names {
		id := model.NodeID(n)
		z.ids = append(z.ids, id)
		z.cores[id] = New(cfg, record(n, "z1"), 1)
	}
	live := append([]model.NodeID(nil), z.ids...)
	for i := range live {
		for j := range live {
			if compareNodes(live[i], live[j]) < 0 {
				live[i], live[j] = live[j], live[i]
			}
		}
	}
	for _, id := range z.ids {
		z.step(id, Members{Live: live})
		for _, other := range z.ids {
			if other != id {
				z.step(id, core.PeerUp{Record: record(string(other), "z1")})
			}
		}
	}
	return z
}

// crash removes nodes and reports their loss to the others.
func (z *zone) crash(gone ...model.NodeID) {
	isGone := func(id model.NodeID) bool { return slices.Contains(gone, id) }
	z.ids = slices.DeleteFunc(z.ids, isGone)
	live := slices.SortedFunc(slices.Values(z.ids), compareNodes)
	for _, id := range z.ids {
		for _, g := range gone {
			z.step(id, core.PeerDown{Node: g})
		}
		z.step(id, Members{Live: live})
	}
}

// step handles an event at a node and delivers the resulting messages in the order sent.
func (z *zone) step(id model.NodeID, ev core.Event) {
	type delivery struct {
		to model.NodeID
		ev core.Event
	}
	for queue := []delivery{{id, ev}}; len(queue) > 0; queue = queue[1:] {
		at := queue[0].to
		for _, a := range z.cores[at].Step(z.now, queue[0].ev) {
			switch a := a.(type) {
			case SetReading:
				if a.On && !z.reading[at] {
					z.starts++
				}
				z.reading[at] = a.On
			case core.Send:
				if _, advert := a.Message.(*message.DocumentAdvert); advert {
					z.adverts++
				}
				queue = append(queue, delivery{a.To, core.Received{From: at, Message: a.Message}})
			}
		}
	}
}

// advance advances the time in ticks of 100 ms. In each tick the read of every reading node ends with
// the document, without a change if the store is empty, or with an error if the node is in failing.
func (z *zone) advance(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(100 * time.Millisecond)
		for _, id := range z.ids {
			z.step(id, core.Tick{})
			if !z.reading[id] {
				continue
			}
			z.reads++
			read := StoreRead{Version: 1, Body: []byte("1")}
			if z.empty {
				read = StoreRead{}
			}
			if z.failing[id] {
				read = StoreRead{Err: fmt.Errorf("refused")}
			}
			z.step(id, read)
		}
	}
}

// readers returns the nodes that read the store.
func (z *zone) readers() []model.NodeID {
	var on []model.NodeID
	for _, id := range z.ids {
		if z.reading[id] {
			on = append(on, id)
		}
	}
	return on
}

// Nodes that don't read the store learn its epoch from the beacons of a reader.
func TestBeaconCarriesTheStoresEpoch(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.step(Members{Live: []model.NodeID{"self", "near"}})
	epochs := func(actions []core.Action) (sent []uint64) {
		for _, a := range actions {
			if s, ok := a.(core.Send); ok {
				if m, ok := s.Message.(*message.ReaderBeacon); ok {
					sent = append(sent, m.Epoch)
				}
			}
		}
		return sent
	}
	must.Eq(t, []uint64{2}, epochs(h.step(StoreRead{Version: 5, Body: []byte("5"), Epoch: 2})))
	h.step(StoreRead{Epoch: 3})
	must.SliceContains(t, epochs(h.advance(time.Second)), 3)
}

// After the store was restored from an older copy, its older document is not applied, whatever the
// store's epoch. Nor is the held document applied again when the operators write it again.
func TestOlderDocumentOfARestoredStoreIsNotApplied(t *testing.T) {
	h := newHarness(t)
	h.step(StoreRead{Version: 5, Body: []byte("5"), Epoch: 1})
	h.step(StoreRead{Epoch: 1})
	must.Eq(t, nil, applied(h.step(StoreRead{Version: 4, Body: []byte("4"), Epoch: 2})))
	must.Eq(t, 5, h.core.Held())
	must.Eq(t, nil, applied(h.step(StoreRead{Epoch: 2})), must.Sprint("a read without a change"))
	must.Eq(t, nil, applied(h.step(StoreRead{Version: 5, Body: []byte("5"), Epoch: 2})), must.Sprint("written again"))
	must.Eq(t, nil, applied(h.step(StoreRead{Epoch: 3})), must.Sprint("the copy holds no document"))
	must.Eq(t, 5, h.core.Held())
	must.Eq(t, []uint64{6}, applied(h.step(StoreRead{Version: 6, Body: []byte("6"), Epoch: 3})))
	must.Eq(t, 6, h.core.Held())
}

// A peer's document must not wait for a read of the store once a reader's beacon was received.
func TestStartedNodeAppliesAPeersDocumentOnceItReceivesABeacon(t *testing.T) {
	h := newHarness(t)
	h.step(Members{Live: []model.NodeID{"a", "b", "c", "self"}})
	h.connect("near", "z1")
	must.Eq(t, nil, applied(h.receive("near", &message.Document{Version: 3, Body: []byte("3")})))
	must.Eq(t, []uint64{3}, applied(h.receive("near", &message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: 1})))
	h.advance(500 * time.Millisecond)
	must.False(t, h.core.Reading())
	must.Eq(t, []uint64{4}, applied(h.receive("near", &message.Document{Version: 4, Body: []byte("4")})))
}

// An expired beacon must not keep a starting node from reading the store.
func TestStartedNodeReadsWhenTheReaderIsSilent(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.step(Members{Live: []model.NodeID{"a", "b", "c", "self"}})
	h.receive("near", &message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: 1})
	h.advance(3 * time.Second)
	must.True(t, h.core.Reading())
}

// A connecting peer must get recent beacons at once and not wait for the next one.
func TestConnectingPeerReceivesRecentBeacons(t *testing.T) {
	beaconsSent := func(after time.Duration, zone model.Zone) (readers []model.NodeID) {
		h := newHarness(t)
		h.connect("near", "z1")
		h.receive("near", &message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: 7, Epoch: 2})
		h.advance(after)
		for _, a := range h.step(core.PeerUp{Record: record("new", zone)}) {
			if s, ok := a.(core.Send); ok {
				if m, ok := s.Message.(*message.ReaderBeacon); ok {
					must.Eq(t, message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: 7, Epoch: 2}, *m)
					readers = append(readers, s.To)
				}
			}
		}
		return readers
	}
	must.Eq(t, []model.NodeID{"new"}, beaconsSent(200*time.Millisecond, "z1"))
	must.Eq(t, nil, beaconsSent(200*time.Millisecond, "z2"))
	must.Eq(t, nil, beaconsSent(800*time.Millisecond, "z1"))
}

// Guards against a second read, soon cancelled, by a node that reads only for its own start.
func TestStartedNodeReadsOnce(t *testing.T) {
	modes := func(actions []core.Action) (all []SetReading) {
		for _, a := range actions {
			if s, ok := a.(SetReading); ok {
				all = append(all, s)
			}
		}
		return all
	}
	cfg := DefaultConfig()
	cfg.ReadDelay = 300 * time.Millisecond
	for _, leads := range []bool{false, true} {
		h := &harness{t: t, core: New(cfg, record("self", "z1"), 1), now: begin}
		h.step(core.Tick{})
		h.step(Members{Live: []model.NodeID{"a", "b", "c", "self"}})
		must.Eq(t, []SetReading{{On: true, Once: true}}, modes(h.advance(300*time.Millisecond)))
		want := []SetReading{{}}
		if leads {
			must.Eq(t, []SetReading{{On: true}}, modes(h.step(Members{Live: []model.NodeID{"self"}})), must.Sprint("a leader keeps reading"))
			want = nil
		}
		must.Eq(t, want, modes(h.step(StoreRead{Version: 1, Body: []byte("1")})))
	}
}

// Guards against reads by each node that restarts in a zone with readers: the calls to the store
// would grow with the number of nodes.
func TestRestartedNodesDontReadTheStore(t *testing.T) {
	for _, members := range []int{20, 80} {
		z, _ := newLargeZone(t, members)
		z.advance(3 * time.Second)
		readers := z.readers()
		before := z.reads
		ticks := 0
		for _, id := range slices.Clone(z.ids) {
			if slices.Contains(readers, id) {
				continue
			}
			z.restart(id)
			z.advance(200 * time.Millisecond)
			ticks += 2
			must.Eq(t, 1, z.cores[id].Held())
		}
		must.Eq(t, readers, z.readers())
		must.Eq(t, before+ticks*len(readers), z.reads, must.Sprint("only the zone's readers read"))
	}
}

// restart replaces a node by a new one that is connected to all others.
func (z *zone) restart(id model.NodeID) {
	cfg := z.cores[id].cfg
	cfg.ReadDelay = 300 * time.Millisecond
	z.cores[id], z.reading[id] = New(cfg, record(string(id), "z1"), 9), false
	z.step(id, core.Tick{})
	z.step(id, Members{Live: slices.SortedFunc(slices.Values(z.ids), compareNodes)})
	for _, other := range z.ids {
		if other != id {
			z.step(id, core.PeerUp{Record: record(string(other), "z1")})
			z.step(other, core.PeerUp{Record: record(string(id), "z1")})
		}
	}
}

// Guards against a number of readers that grows with the site when all nodes of a new site start at
// once, connect to each other within a second, and the store holds no configuration yet.
func TestStartOfAWholeSiteTakesFewReads(t *testing.T) {
	reads := func(members int) int {
		z := &zone{
			now: begin, cores: make(map[model.NodeID]*Core), reading: make(map[model.NodeID]bool), failing: make(map[model.NodeID]bool),
			empty: true,
		}
		rnd := rand.New(rand.NewPCG(1, uint64(members)))
		joins := make(map[model.NodeID]time.Time)
		for i := range members {
			cfg := DefaultConfig()
			delay := time.Duration(rnd.Float64() * float64(time.Second))
			cfg.Leaders, cfg.FirstStart, cfg.ReadDelay = 2, true, delay+300*time.Millisecond
			id := model.NodeID(fmt.Sprintf("node-%03d", i))
			z.ids = append(z.ids, id)
			z.cores[id] = New(cfg, record(string(id), "z1"), uint64(i))
			z.step(id, Members{Live: []model.NodeID{id}})
			joins[id] = begin.Add(delay)
		}
		var joined []model.NodeID
		for range 40 {
			z.advance(100 * time.Millisecond)
			for _, id := range z.ids {
				if joins[id].After(z.now) || slices.Contains(joined, id) {
					continue
				}
				joined = append(joined, id)
				for _, other := range joined[:len(joined)-1] {
					z.step(id, core.PeerUp{Record: record(string(other), "z1")})
					z.step(other, core.PeerUp{Record: record(string(id), "z1")})
				}
			}
			live := slices.SortedFunc(slices.Values(joined), compareNodes)
			for _, id := range joined {
				z.step(id, Members{Live: live})
			}
		}
		must.Len(t, 2, z.readers())
		return z.starts
	}
	small, large := reads(20), reads(120)
	t.Log("nodes that turned reading on:", small, large)
	must.LessEq(t, 20, small)
	must.LessEq(t, 20, large)
}

// Guards against the first nodes of a zone, which have no peer to get the document from, waiting
// for ReadDelay.
func TestFirstNodeOfAZoneReadsAtOnce(t *testing.T) {
	cfg := DefaultConfig()
	cfg.FirstStart, cfg.ReadDelay = true, 2*time.Second
	h := &harness{t: t, core: New(cfg, record("self", "z1"), 1), now: begin}
	h.step(core.Tick{})
	h.advance(100 * time.Millisecond)
	must.False(t, h.core.Reading())
	h.step(FirstInZone{})
	must.True(t, h.core.Reading())
	must.Eq(t, []uint64{3}, applied(h.step(StoreRead{Version: 3, Body: []byte("3")})))
}

func TestVersionThatIsKnownAndNotHeldIsReportedOnce(t *testing.T) {
	h := newHarness(t)
	h.connect("near", "z1")
	h.step(StoreRead{Version: 3, Body: []byte("3")})
	late := func(actions []core.Action) (all []Late) {
		for _, a := range actions {
			if l, ok := a.(Late); ok {
				all = append(all, l)
			}
		}
		return all
	}
	h.receive("near", &message.DocumentAdvert{Version: 5})
	must.Eq(t, nil, late(h.advance(900*time.Millisecond)))
	must.Eq(t, []Late{{Version: 5, Held: 3, Source: "near"}}, late(h.advance(3*time.Second)))
	actions := h.receive("near", &message.Document{Version: 5, Body: []byte("5")})
	must.Eq(t, Apply{Version: 5, Body: []byte("5"), From: "near", BehindFor: 3900 * time.Millisecond}, actions[0].(Apply))
	must.Eq(t, nil, late(h.advance(3*time.Second)))
}
