package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// load is a series of changes to a fleet.
type load struct {
	nodes, zones, organisations int
	changes                     int
	every                       time.Duration // between two changes
	merge                       time.Duration // MergeInterval
	idle                        time.Duration // before the changes
}

// cost is what a load costs.
type cost struct {
	p50, max    time.Duration // from a change to its arrival, over nodes and changes
	mean        float64       // bytes sent for each change: mean of the nodes
	busiest     float64       // and that of the busiest one
	idle        float64       // bytes a second while nothing changes: mean
	busiestIdle float64
	reads       float64 // of the platform, per second
}

// sizes divides the nodes among the zones.
func (l load) sizes() []int {
	sizes := make([]int, l.zones)
	for i := range l.nodes {
		sizes[i%l.zones]++
	}
	return sizes
}

// settled is how long a fleet may take until all know the last change in force.
const settled = 10 * time.Second

// run starts the fleet, lets it idle and then makes the changes.
func (l load) run(t testing.TB) cost {
	t.Helper()
	n := newOverlay(t, 8, hashedChord, l.sizes()...)
	n.organisations, n.cfg.MergeInterval = l.organisations, l.merge
	n.publish(-1)
	for i := range n.nodes {
		n.start(i)
	}
	n.run(settled)
	must.SliceEmpty(t, n.behind())
	n.resetCounts()
	n.run(l.idle)
	var c cost
	c.idle, c.busiestIdle = n.sent(l.idle.Seconds())
	c.reads = float64(n.polls+n.reads) / l.idle.Seconds()
	for _, d := range n.nodes {
		d.reached = make(map[uint64]time.Time)
	}
	n.resetCounts()
	started := n.now
	published := make(map[uint64]time.Time)
	for range l.changes {
		n.publish(n.rng.IntN(len(n.nodes)))
		published[n.platform.Version()] = n.now
		n.run(l.every)
	}
	n.run(settled - l.every)
	must.True(t, n.allInForce())
	c.p50, c.max = n.latencies(published)
	idleFor := n.now.Sub(started).Seconds() / float64(l.changes)
	c.mean, c.busiest = n.sent(float64(l.changes))
	c.mean -= c.idle * idleFor
	c.busiest -= c.busiestIdle * idleFor
	return c
}

// sent returns the bytes sent, divided: the mean of the nodes and the most.
func (n *network) sent(by float64) (mean, most float64) {
	for _, d := range n.nodes {
		mean += float64(d.sent) / float64(len(n.nodes)) / by
		most = max(most, float64(d.sent)/by)
	}
	return mean, most
}

// latencies returns how long changes took to reach each node, by a version that
// holds them.
func (n *network) latencies(published map[uint64]time.Time) (p50, most time.Duration) {
	var all []time.Duration
	for _, d := range n.nodes {
		for v, at := range published {
			var first time.Time
			for held, when := range d.reached {
				if held >= v && (first.IsZero() || when.Before(first)) {
					first = when
				}
			}
			all = append(all, first.Sub(at))
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// burst is 20 changes in 2 s.
func burst(nodes, zones int, merge time.Duration) load {
	return load{nodes: nodes, zones: zones, organisations: 100, changes: 20, every: 100 * time.Millisecond, merge: merge, idle: 2 * settled}
}

// spread is changes as of 11,000 a day.
func spread(nodes, zones int, merge time.Duration) load {
	return load{nodes: nodes, zones: zones, organisations: 100, changes: 10, every: 24 * time.Hour / 11_000, merge: merge, idle: 2 * settled}
}

// TestMergeIntervalTradesTimeForBytes bounds the two ends of the curve: twenty
// changes in 2 s on 50 nodes.
func TestMergeIntervalTradesTimeForBytes(t *testing.T) {
	t.Parallel()
	for merge, bounds := range map[time.Duration]struct {
		leastMax, mostMax   time.Duration
		leastMean, mostMean float64
	}{
		0:               {time.Millisecond, 30 * time.Millisecond, 500, 850},
		3 * time.Second: {time.Second, 6 * time.Second, 100, 300},
	} {
		t.Run(fmt.Sprint(merge), func(t *testing.T) {
			t.Parallel()
			l := burst(50, 3, merge)
			l.organisations, l.idle = 20, settled
			c := l.run(t)
			must.Between(t, bounds.leastMax, c.max, bounds.mostMax)
			must.Between(t, bounds.leastMean, c.mean, bounds.mostMean)
			t.Log(c)
		})
	}
}

// TestBusiestNodeIsBounded keeps the gateways of seven zones cheap.
func TestBusiestNodeIsBounded(t *testing.T) {
	t.Parallel()
	l := spread(50, 7, DefaultConfig().MergeInterval)
	l.organisations, l.changes, l.idle = 20, 3, settled
	c := l.run(t)
	must.Between(t, 100, c.mean, 1500)
	must.Between(t, c.mean, c.busiest, 6500)
	must.Between(t, 100, c.idle, 300)
	must.Between(t, c.idle, c.busiestIdle, 500)
	t.Log(c)
}

// BenchmarkMergeInterval reports the curve of convergence against bytes.
func BenchmarkMergeInterval(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 3}, {200, 7}} {
		for name, of := range map[string]func(int, int, time.Duration) load{"burst": burst, "spread": spread} {
			for _, merge := range []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second} {
				b.Run(fmt.Sprintf("nodes=%d/load=%s/merge=%v", size.nodes, name, merge), func(b *testing.B) {
					for b.Loop() {
						of(size.nodes, size.zones, merge).run(b).report(b)
					}
				})
			}
		}
	}
}

// BenchmarkSlope reports how the costs grow with the fleet.
func BenchmarkSlope(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 7}, {100, 7}, {200, 7}, {350, 7}, {700, 7}, {350, 1}, {614, 1}} {
		b.Run(fmt.Sprintf("nodes=%d/zones=%d", size.nodes, size.zones), func(b *testing.B) {
			for b.Loop() {
				l := spread(size.nodes, size.zones, DefaultConfig().MergeInterval)
				l.organisations, l.changes = 400, 5
				l.run(b).report(b)
			}
		})
	}
}

// BenchmarkDesignSize is the fleet that the system is made for, with few
// contracts to spare memory.
func BenchmarkDesignSize(b *testing.B) {
	for b.Loop() {
		l := spread(7*614, 7, DefaultConfig().MergeInterval)
		l.organisations, l.changes, l.idle = 20, 3, settled
		l.run(b).report(b)
	}
}

func (c cost) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(c.p50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(c.max.Milliseconds()), "max-ms")
	b.ReportMetric(c.mean, "B/change")
	b.ReportMetric(c.busiest, "busiest-B/change")
	b.ReportMetric(c.idle, "idle-B/s")
	b.ReportMetric(c.busiestIdle, "busiest-idle-B/s")
	b.ReportMetric(c.reads, "reads/s")
}
