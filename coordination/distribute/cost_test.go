package distribute

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// total returns the messages and bytes sent per node.
func (n *network) total() (messages, size float64) {
	for k, b := range n.bytes {
		size += float64(b) / float64(len(n.nodes))
		messages += float64(n.messages[k]) / float64(len(n.nodes))
	}
	return messages, size
}

func (n *network) kinds() string {
	var b strings.Builder
	for k := message.KindBeacon; k <= message.KindZoneStatus; k++ {
		fmt.Fprintf(&b, " %d:%d/%dB", k, n.messages[k], n.bytes[k])
	}
	return b.String()
}

// TestCostOfIdlingAndChanging bounds messages, bytes and time for 50 nodes in 3
// zones with links of 1 ms, beside the baseline: every node polls the head at
// the reader's interval and reads each version whole. Run it with -v for the
// figures.
func TestCostOfIdlingAndChanging(t *testing.T) {
	const idle, changes, pause = 60, 20, 5 * time.Second
	n := newNetwork(t, 8, 17, 17, 16)
	n.customers = 100
	n.publish(-1)
	for i := range n.nodes {
		n.start(i)
	}
	n.run(30 * time.Second)
	n.resetCounts()
	n.run(idle * time.Second)
	idleMessages, idleBytes := n.total()
	idleMessages, idleBytes = idleMessages/idle, idleBytes/idle
	t.Logf("idle: %.2f messages, %.0f B per node and second; %d polls in %d s;%s", idleMessages, idleBytes, n.polls, idle, n.kinds())

	n.resetCounts()
	var converged, inForce time.Duration
	for range changes {
		start := n.now
		n.publish(n.rng.IntN(len(n.nodes)))
		for len(n.behind()) > 0 || !n.allInForce() {
			n.run(5 * time.Millisecond)
			if len(n.behind()) > 0 {
				converged = max(converged, n.now.Sub(start))
			}
			inForce = max(inForce, n.now.Sub(start))
			must.Less(t, pause, inForce)
		}
		n.run(pause - n.now.Sub(start))
	}
	seconds := float64(changes) * pause.Seconds()
	m, b := n.total()
	m, b = (m-idleMessages*seconds)/changes, (b-idleBytes*seconds)/changes
	t.Logf("change: %.1f messages, %.0f B per node; all hold after %s, in force after %s at most;%s", m, b, converged, inForce, n.kinds())

	whole, err := n.platform.Encode()
	must.NoError(t, err)
	head, err := message.Encode(&message.Advert{Held: n.platform.Ref()})
	must.NoError(t, err)
	polls := float64(time.Second / n.cfg.PollInterval)
	baseIdle, baseChange := 2*polls*float64(len(head)), float64(len(whole))
	t.Logf("baseline: idle %.0f B per node and second and %.0f reads of the platform; change %.0f B per node, all hold after up to %s",
		baseIdle, polls*float64(len(n.nodes)), baseChange, n.cfg.PollInterval+7*time.Millisecond)

	must.Between(t, 0, idleMessages, 6)
	must.Between(t, 0, idleBytes, 600)
	must.Between(t, 0, m, 45)
	must.Between(t, 0, b, 5000)
	must.Between(t, 0, converged, 200*time.Millisecond)
	must.Between(t, 0, inForce, time.Second)
}

// allInForce reports whether every node knows the version to be in force.
func (n *network) allInForce() bool {
	for _, d := range n.nodes {
		if slices.ContainsFunc(d.core.Status().Zones, func(z ZoneReport) bool { return !z.InForce(n.platform.Version()) }) {
			return false
		}
	}
	return true
}
