package sidecar

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const coldRate = 10

// coldFleet starts nodes whose backend servers are limited to coldRate while they are cold.
func coldFleet(t *testing.T, n int) *fleet {
	f := newEmptyFleet(t, 1)
	f.adapt = func(s *Settings) { s.Cold = ColdSettings{Over: 1.5, Slack: 4} }
	f.store.Put("op", "config", platformtest.ColdConfig("r1", []string{"booking"}, coldRate, routesFree("")...))
	f.startAll(n)
	return f
}

// maxPerSecond returns the largest number of requests that a backend server got in any second.
func maxPerSecond(b *platformtest.Backend) int {
	most := 0
	seen := b.Seen()
	for i, from := range seen {
		n := 0
		for _, s := range seen[i:] {
			if s.At.Sub(from.At) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// sendLoad sends requests to a node for a time, eight concurrently.
func (f *fleet) sendLoad(m *site, lasts time.Duration) {
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for end := time.Now().Add(lasts); time.Now().Before(end); {
				f.do(m, "POST", "/book/x", "a room")
			}
		})
	}
	callers.Wait()
}

// coldBound is the largest number of requests that a cold backend server of a coldFleet may get
// in any second.
const coldBound = coldRate*1.5 + 4

// A cold backend server fails at the rate that warm ones can handle.
func TestColdBackendServerGetsALimitedRate(t *testing.T) {
	f := coldFleet(t, 2)
	cold, warm := f.nodes[0], f.nodes[1]
	cold.backend.Cold = time.Minute
	f.beat()
	f.waitForServers(2)
	f.eventually("the entry nodes know which backend server is cold", func() bool {
		for _, r := range warm.node.pub.view.Load().Service("booking") {
			if r.Cold != (r.Node == cold.node.set.Node) {
				return false
			}
		}
		return true
	})
	f.sendLoad(cold, 2*time.Second)
	must.Positive(t, len(cold.backend.Seen()))
	must.LessEq(t, coldBound, maxPerSecond(cold.backend))
	must.Greater(t, 2*coldBound, len(warm.backend.Seen()), must.Sprint("the warm one gets the rest"))

	cold.backend.Cold = 0
	f.beat()
	f.eventually("the entry nodes know that it is warm", func() bool {
		for _, r := range warm.node.pub.view.Load().Service("booking") {
			if r.Cold {
				return false
			}
		}
		return true
	})
}

// A backend server may be cold when the evacuation of its zone ends, while its last heartbeat
// still reports it as warm.
func TestBackendServerCountsAsColdAfterItsEvacuation(t *testing.T) {
	f := coldFleet(t, 2)
	f.beat()
	f.waitForServers(2)
	f.store.Put("op", "evacuate/z0", []byte("{}"))
	f.waitForServers(1)
	f.store.Remove("op", "evacuate/z0")
	f.waitForServers(2)
	began := len(f.nodes[0].backend.Seen())
	f.sendLoad(f.nodes[0], 1500*time.Millisecond)
	must.Positive(t, len(f.nodes[0].backend.Seen())-began)
	must.LessEq(t, coldBound, maxPerSecond(f.nodes[0].backend))
	f.beat()
	f.sendLoad(f.nodes[0], 1500*time.Millisecond)
	must.Greater(t, coldBound, maxPerSecond(f.nodes[0].backend), must.Sprint("its heartbeat reports it as warm"))
}

// A backend server that refused connections may have restarted, and be cold, when it accepts the
// next one.
func TestUnreachableBackendServerCountsAsColdUntilItsHeartbeat(t *testing.T) {
	f := coldFleet(t, 1)
	f.beat()
	f.waitForServers(1)
	m := f.nodes[0]
	m.node.backends.unreachable(m.node.pub.instance.Load().ID)
	i := m.node.pub.instance.Load()
	must.True(t, m.node.pub.cold(i, time.Now()))
	f.beat()
	must.False(t, m.node.pub.cold(m.node.pub.instance.Load(), time.Now()))
}
