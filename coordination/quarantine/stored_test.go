package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// storedNetwork is a network whose nodes write their evidence to a store.
type storedNetwork struct {
	*network
	rows map[model.NodeID]suspect.Entry
	// away says that the store takes no writes; they are repeated later.
	away   bool
	unsent []model.NodeID
	// lostWrite says that a node has ended before it could write.
	lostWrite bool
	// lost is a node none of whose writes arrive.
	lost model.NodeID
	size int
}

const popular = 7

func newStoredNetwork(t *testing.T, n int) *storedNetwork {
	s := &storedNetwork{network: newNetwork(t, n), rows: make(map[model.NodeID]suspect.Entry), size: n}
	s.record = func(at model.NodeID, _ Record) { s.unsent = append(s.unsent, at) }
	return s
}

// write writes the evidence that waits, except that of the nodes that are lost.
func (s *storedNetwork) write() {
	if s.away {
		return
	}
	for _, at := range s.unsent {
		if e, held := s.cores[at].Entry(popular); held && at != s.lost {
			s.rows[at] = e
		}
	}
	s.unsent = nil
}

// restart ends nodes and starts them again, each of which reads the store.
func (s *storedNetwork) restart(nodes ...int) {
	for _, i := range nodes {
		s.cut(node(i))
		s.cores[node(i)] = New(uint64(i))
		s.lostWrite = s.lostWrite || slices.Contains(s.unsent, node(i))
		s.unsent = slices.DeleteFunc(s.unsent, func(at model.NodeID) bool { return at == node(i) })
	}
	for _, i := range nodes {
		s.load(i)
		for j := range s.size {
			s.link(node(i), node(j))
		}
	}
	s.settle()
}

func (s *storedNetwork) load(i int) {
	ev := Loaded{}
	for _, writer := range slices.Sorted(maps.Keys(s.rows)) {
		ev.Entries = append(ev.Entries, s.rows[writer])
		if writer == node(i) {
			ev.Own = append(ev.Own, s.rows[writer])
		}
	}
	s.step(node(i), ev)
}

func (s *storedNetwork) settle() {
	s.run(150 * time.Millisecond)
	s.write()
}

// pass lets time pass in which nothing happens.
func (s *storedNetwork) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.settle()
}

func (s *storedNetwork) all() []int {
	var all []int
	for i := range s.size {
		all = append(all, i)
	}
	return all
}

// Guards against a quarantine's row that outlives its refutation: nodes that all started
// again refused a popular request for a day.
func TestRefutedQuarantineDoesNotReturnFromTheStore(t *testing.T) {
	for name, between := range map[string]func(*storedNetwork){
		"all restart": func(*storedNetwork) {},
		"the store is away during the success": func(s *storedNetwork) {
			s.away = true
			s.step(node(4), Succeeded{Fingerprint: popular})
			s.settle()
			s.away = false
		},
		"a witness restarts before": func(s *storedNetwork) { s.restart(0) },
		"all witnesses restart":     func(s *storedNetwork) { s.restart(0, 1, 2) },
		"all restart before":        func(s *storedNetwork) { s.restart(s.all()...) },
		"messages are lost":         func(s *storedNetwork) { s.lose = func(e envelope) bool { return isSuspects(e) && e.to == node(3) } },
		"the witnesses are gone": func(s *storedNetwork) {
			for i := range 3 {
				s.cut(node(i))
				delete(s.cores, node(i))
			}
		},
		"the witnesses restart and the node of the success can't write": func(s *storedNetwork) {
			s.restart(0, 1, 2)
			s.lost = node(4)
		},
		"the success comes at a witness": func(s *storedNetwork) {
			s.step(node(1), Succeeded{Fingerprint: popular})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoredNetwork(t, 6)
			for i := range 3 {
				s.crash(i, popular)
			}
			s.settle()
			must.Eq(t, 6, s.quarantined(popular))
			must.MapLen(t, 3, s.rows)
			between(s)
			s.step(node(4), Succeeded{Fingerprint: popular})
			s.settle()
			s.lose = nil
			s.run(30 * time.Second)
			must.Zero(t, s.quarantined(popular))
			s.pass(suspect.Memory + time.Minute)
			clear(s.reported)
			s.restart(s.all()...)
			must.Zero(t, s.quarantined(popular))
			must.MapEmpty(t, s.reported)
		})
	}
}

func isSuspects(e envelope) bool {
	_, is := e.message.(*message.Suspects)
	return is
}

// Guards against an older copy of the store that brings a refuted quarantine back.
func TestOlderCopyOfTheStoreBringsNoRefutedQuarantineBack(t *testing.T) {
	s := newStoredNetwork(t, 6)
	for i := range 3 {
		s.crash(i, popular)
	}
	s.settle()
	old := maps.Clone(s.rows)
	s.step(node(4), Succeeded{Fingerprint: popular})
	s.settle()
	s.rows = old
	s.restart(5)
	must.Zero(t, s.quarantined(popular), must.Sprint("its peers know better"))
	for i := range s.size {
		for _, e := range s.cores[node(i)].Recorded() {
			s.rows[node(i)] = e
		}
	}
	s.restart(s.all()...)
	must.Zero(t, s.quarantined(popular))
}

// The evidence in a store, memory and messages leads to one verdict in any order of crashes,
// successes, writes, lost writes, restarts and copies of an older store. A quarantine is
// forgotten only if a node that was to write it ended before.
func TestEvidenceAndRefutationMeetInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newStoredNetwork(t, 4)
		copied := maps.Clone(s.rows)
		crashes, refuted := 0, false
		for range rapid.IntRange(3, 14).Draw(rt, "steps") {
			at := rapid.IntRange(0, 3).Draw(rt, "node")
			switch rapid.SampledFrom([]string{"crash", "crash", "crash", "success", "away", "restart", "restart all", "copy", "older", "time"}).Draw(rt, "step") {
			case "crash":
				if !s.cores[node(at)].View().Quarantined(popular) {
					s.crash(at, popular)
					crashes, refuted = crashes+1, false
				}
			case "success":
				s.step(node(at), Succeeded{Fingerprint: popular})
				refuted = true
			case "away":
				s.away = !s.away
			case "restart":
				s.restart(at)
			case "restart all":
				// What no node had time to write is unknown afterwards.
				s.away = false
				s.settle()
				s.restart(s.all()...)
			case "copy":
				copied = maps.Clone(s.rows)
			case "older":
				s.rows = maps.Clone(copied)
				for i := range s.size {
					for _, e := range s.cores[node(i)].Recorded() {
						s.rows[node(i)] = e
					}
				}
			case "time":
				s.pass(suspect.Memory + time.Minute)
			}
			s.settle()
		}
		s.away = false
		s.settle()
		s.run(2 * time.Second)
		s.write()
		before := s.quarantined(popular)
		if before != 0 && before != s.size {
			rt.Fatalf("%d of %d nodes refuse the request", before, s.size)
		}
		if refuted && before != 0 {
			rt.Fatalf("refused after a success and without a crash since")
		}
		s.restart(s.all()...)
		if after := s.quarantined(popular); after != before && (after != 0 || !s.lostWrite) {
			rt.Fatalf("%d nodes refuse the request before a restart of all, %d after it: %s", before, after, fmt.Sprint(s.rows))
		}
	})
}
