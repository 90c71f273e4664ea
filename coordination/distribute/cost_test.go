package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// measureCost lets a fleet idle and then publishes changes at random nodes. It
// returns figures by unit: messages and bytes per node, reads of the platform's
// head per second, and the longest times that a change took, in ms.
func measureCost(t testing.TB, organisations, idle, changes int, sizes ...int) map[string]float64 {
	t.Helper()
	const pause = 5 * time.Second
	n := newNetwork(t, 8, sizes...)
	n.organisations = organisations
	n.publish(-1)
	for i := range n.nodes {
		n.start(i)
	}
	n.run(20 * time.Second)
	must.SliceEmpty(t, n.nodesBehind())
	n.resetCounts()
	n.run(time.Duration(idle) * time.Second)
	m, b := n.total()
	c := map[string]float64{"idlemsg/s": m / float64(idle), "idleB/s": b / float64(idle), "polls/s": float64(n.readerPolls) / float64(idle)}
	n.resetCounts()
	for range changes {
		start := n.now
		n.publish(n.rng.IntN(len(n.nodes)))
		for !n.allInForce() {
			must.Less(t, pause, n.now.Sub(start))
			n.run(5 * time.Millisecond)
		}
		c["inforce-ms"] = max(c["inforce-ms"], float64(n.now.Sub(start).Milliseconds()))
		for _, d := range n.nodes {
			c["converged-ms"] = max(c["converged-ms"], float64(d.swapAt.Sub(start).Milliseconds()))
		}
		n.run(pause - n.now.Sub(start))
	}
	m, b = n.total()
	c["changemsg"] = m/float64(changes) - c["idlemsg/s"]*pause.Seconds()
	c["changeB"] = b/float64(changes) - c["idleB/s"]*pause.Seconds()

	// The baseline is a fleet in which every node polls the head as often as a
	// reader does and reads each version whole.
	whole, err := n.platform.Encode()
	must.NoError(t, err)
	head, err := message.Encode(&message.Advert{Held: n.platform.Ref()})
	must.NoError(t, err)
	polls := float64(time.Second) / float64(DefaultConfig().PollInterval)
	c["base-idleB/s"], c["base-reads/s"] = polls*float64(len(head)), polls*float64(len(n.nodes))
	c["base-changeB"] = float64(len(whole))
	return c
}

// total returns the mean number of messages and bytes sent by a node.
func (n *network) total() (messages, size float64) {
	for k, b := range n.bytes {
		size += float64(b) / float64(len(n.nodes))
		messages += float64(n.messages[k]) / float64(len(n.nodes))
	}
	return messages, size
}

// allInForce reports whether, in every node's view, every zone has the
// platform's version in force.
func (n *network) allInForce() bool {
	for _, d := range n.nodes {
		notInForce := func(z ZoneReport) bool { return !z.InForce(n.platform.Version()) }
		if slices.ContainsFunc(d.core.Status().Zones, notInForce) {
			return false
		}
	}
	return true
}

// TestCostIsBounded bounds messages, bytes and convergence times, in virtual
// time with a link latency of 1 ms. -v prints the figures.
func TestCostIsBounded(t *testing.T) {
	t.Parallel()
	c := measureCost(t, 100, 10, 6, 17, 17, 16)
	for unit, limit := range map[string]float64{
		"idlemsg/s": 4, "idleB/s": 250, "polls/s": 9,
		"changemsg": 13, "changeB": 1000, "converged-ms": 50, "inforce-ms": 600,
	} {
		must.Between(t, 0.1, c[unit], limit, must.Sprint(unit))
	}
	t.Log(c)
}

// BenchmarkFleet reports the figures of TestCostIsBounded for larger fleets of
// 7 zones.
func BenchmarkFleet(b *testing.B) {
	for _, s := range []int{8, 50} {
		b.Run(fmt.Sprintf("nodes=%d", 7*s), func(b *testing.B) {
			for b.Loop() {
				for unit, v := range measureCost(b, 400, 20, 5, s, s, s, s, s, s, s) {
					b.ReportMetric(v, unit)
				}
			}
		})
	}
}
