package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var start = time.Unix(1_000_000, 0)

func item(peer string, p message.Priority, key, payload string) Item {
	return Item{Peer: model.NodeID(peer), Priority: p, Key: key, Payload: []byte(payload)}
}

// drain pops all items that the budget allows at the time and returns their payloads.
func drain(s *Scheduler, now time.Time) string {
	all := ""
	for {
		got, _, ok := s.Pop(now)
		if !ok {
			return all
		}
		all += string(got.Payload)
	}
}

func TestOrder(t *testing.T) {
	s := New(DefaultConfig(), start)
	for _, it := range []Item{
		item("a", message.Routine, "", "r"),
		item("a", message.Normal, "", "1"),
		item("a", message.Normal, "", "2"),
		item("b", message.Normal, "", "3"),
		item("a", message.Urgent, "", "u"),
		item("c", message.Normal, "", "4"),
	} {
		must.SliceEmpty(t, s.Push(it))
	}
	s.Block("c")
	must.Eq(t, "u132r", drain(s, start))
	s.Unblock("c")
	must.Eq(t, "4", drain(s, start))
}

func TestNewerItemReplacesInPlace(t *testing.T) {
	s := New(DefaultConfig(), start)
	s.Push(item("a", message.Normal, "k", "old"))
	s.Push(item("a", message.Normal, "", "x"))
	s.Push(item("b", message.Normal, "k", "B"))
	s.Push(item("a", message.Normal, "k", "new"))
	must.Eq(t, 3, s.Len())
	must.Eq(t, "newBx", drain(s, start))
	s.Push(item("a", message.Normal, "k", "old"))
	s.Push(item("a", message.Urgent, "k", "new"))
	must.Eq(t, "new", drain(s, start))
}

func TestFullQueueDropsOldestRoutineFirst(t *testing.T) {
	cfg := DefaultConfig()
	cfg.PeerMessages, cfg.PeerBytes = 3, 10
	s := New(cfg, start)
	s.Push(item("a", message.Urgent, "", "u"))
	s.Push(item("a", message.Routine, "", "1"))
	s.Push(item("a", message.Routine, "", "2"))
	must.Eq(t, []Item{item("a", message.Routine, "", "1")}, s.Push(item("a", message.Normal, "", "n")))
	must.Len(t, 2, s.Push(item("a", message.Normal, "", "123456789")))
	must.Eq(t, "u123456789", drain(s, start))
	s.Push(item("a", message.Normal, "", "x"))
	must.Eq(t, 1, s.Remove("a"))
	must.Eq(t, "", drain(s, start))
}

func TestOverdrawIsForUrgentOnly(t *testing.T) {
	cfg := Config{BytesPerSecond: 10, Burst: 10, Overdraw: 10, PeerMessages: 9, PeerBytes: 999}
	s := New(cfg, start)
	s.Push(item("a", message.Normal, "", "0123456789"))
	s.Push(item("a", message.Normal, "", "n"))
	must.Eq(t, "0123456789", drain(s, start))
	s.Push(item("a", message.Urgent, "", "0123456789"))
	s.Push(item("a", message.Urgent, "", "u"))
	must.Eq(t, "0123456789", drain(s, start))
	_, wait, ok := s.Pop(start)
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, wait)
	must.Eq(t, "u", drain(s, start.Add(wait)))
	must.Eq(t, "n", drain(s, start.Add(1200*time.Millisecond)))
}

// sent records an item that was popped.
type sent struct {
	at   time.Time
	size int
}

func TestSentBytesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{PeerMessages: 20, PeerBytes: 5000}
		cfg.BytesPerSecond = float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		cfg.Burst = float64(rapid.IntRange(1, 1000).Draw(t, "burst"))
		cfg.Overdraw = float64(rapid.IntRange(0, 500).Draw(t, "overdraw"))
		s, now, largest := New(cfg, start), start, 0
		var log []sent
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			size := rapid.IntRange(1, 2000).Draw(t, "size")
			largest = max(largest, size)
			p := message.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			peer := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "peer"))
			s.Push(Item{Peer: model.NodeID(peer), Priority: p, Payload: make([]byte, size)})
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			for {
				got, wait, ok := s.Pop(now)
				if !ok {
					must.Eq(t, s.Len() > 0, wait > 0)
					break
				}
				log = append(log, sent{at: now, size: len(got.Payload)})
			}
		}
		allowance := max(cfg.Burst+cfg.Overdraw, float64(largest))
		for i := range log {
			sum := 0
			for _, later := range log[i:] {
				sum += later.size
				limit := later.at.Sub(log[i].at).Seconds()*cfg.BytesPerSecond + allowance
				must.LessEq(t, limit+0.01, float64(sum))
			}
		}
	})
}

func TestPriorityAndStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, passed := New(DefaultConfig(), start), 0
		var waiting [message.NumPriorities]int
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			p := message.Priority(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "priority"))
			for range rapid.IntRange(0, 5).Draw(t, "count") {
				s.Push(item(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "peer")), p, "", "x"))
				waiting[p]++
			}
			got, _, ok := s.Pop(start)
			if !ok {
				continue
			}
			must.False(t, got.Priority == message.Routine && waiting[message.Urgent] > 0)
			waiting[got.Priority]--
			passed++
			if got.Priority == message.Normal || waiting[message.Normal] == 0 {
				passed = 0
			}
			must.LessEq(t, MaxPassed, passed)
		}
	})
}
