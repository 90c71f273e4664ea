package distribute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// workload describes a fleet and a series of changes to its configuration.
type workload struct {
	nodes, zones, organisations int
	changes                     int
	interval                    time.Duration // between two changes
	mergeInterval               time.Duration // Config.MergeInterval
	idle                        time.Duration // before the changes
}

// cost is the cost of a workload in time, bytes and reads of the platform.
type cost struct {
	p50, max time.Duration // from a change to its arrival, over nodes and changes
	mean     float64       // bytes that a node sent per change, idle traffic deducted: mean
	peak     float64       // the same: highest of all nodes
	idle     float64       // bytes that a node sent per second before the changes: mean
	peakIdle float64       // the same: highest of all nodes
	reads    float64       // reads of the head per second before the changes, over all nodes
}

// sizes returns the number of nodes in each zone.
func (w workload) sizes() []int {
	sizes := make([]int, w.zones)
	for i := range w.nodes {
		sizes[i%w.zones]++
	}
	return sizes
}

// settleTime is how long a fleet may take until every node has received notice
// that the last change is in force.
const settleTime = 10 * time.Second

// run starts the fleet, lets it idle, makes the changes and returns the cost.
func (w workload) run(t testing.TB) cost {
	t.Helper()
	n := newOverlay(t, 8, hashedChord, w.sizes()...)
	n.organisations, n.cfg.MergeInterval = w.organisations, w.mergeInterval
	n.publish(-1)
	for i := range n.nodes {
		n.start(i)
	}
	n.run(settleTime)
	must.SliceEmpty(t, n.nodesBehind())
	n.resetCounts()
	n.run(w.idle)
	var c cost
	c.idle, c.peakIdle = n.bytesSent(w.idle.Seconds())
	c.reads = float64(n.readerPolls+n.nonReaderReads) / w.idle.Seconds()
	for _, d := range n.nodes {
		d.swappedAt = make(map[uint64]time.Time)
	}
	n.resetCounts()
	started := n.now
	published := make(map[uint64]time.Time)
	for range w.changes {
		n.publish(n.rng.IntN(len(n.nodes)))
		published[n.platform.Version()] = n.now
		n.run(w.interval)
	}
	n.run(settleTime - w.interval)
	must.True(t, n.allInForce())
	c.p50, c.max = n.latencies(published)
	idleFor := n.now.Sub(started).Seconds() / float64(w.changes)
	c.mean, c.peak = n.bytesSent(float64(w.changes))
	c.mean -= c.idle * idleFor
	c.peak -= c.peakIdle * idleFor
	return c
}

// bytesSent returns the mean and the highest number of bytes that a node sent,
// both divided by divisor.
func (n *network) bytesSent(divisor float64) (mean, most float64) {
	for _, d := range n.nodes {
		mean += float64(d.sent) / float64(len(n.nodes)) / divisor
		most = max(most, float64(d.sent)/divisor)
	}
	return mean, most
}

// latencies returns the median and the longest time from the publication of a
// version until a node swapped to that version or a newer one.
func (n *network) latencies(published map[uint64]time.Time) (p50, most time.Duration) {
	var all []time.Duration
	for _, d := range n.nodes {
		for v, at := range published {
			var first time.Time
			for held, when := range d.swappedAt {
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

// burstWorkload returns a workload of 20 changes in 2 s.
func burstWorkload(nodes, zones int, merge time.Duration) workload {
	return workload{nodes: nodes, zones: zones, organisations: 100, changes: 20, interval: 100 * time.Millisecond, mergeInterval: merge, idle: 2 * settleTime}
}

// steadyWorkload returns a workload of 10 changes, evenly spread at a rate of
// 11,000 a day.
func steadyWorkload(nodes, zones int, merge time.Duration) workload {
	return workload{nodes: nodes, zones: zones, organisations: 100, changes: 10, interval: 24 * time.Hour / 11_000, mergeInterval: merge, idle: 2 * settleTime}
}

// TestMergeIntervalTradesTimeForBytes bounds convergence time and bytes of a
// burst on 50 nodes at both ends of the range of MergeInterval: without
// merging, and with a merge interval longer than the burst.
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
			w := burstWorkload(50, 3, merge)
			w.organisations, w.idle = 20, settleTime
			c := w.run(t)
			must.Between(t, bounds.leastMax, c.max, bounds.mostMax)
			must.Between(t, bounds.leastMean, c.mean, bounds.mostMean)
			t.Log(c)
		})
	}
}

// TestMostLoadedNodeIsBounded bounds what the node that sends most has to send,
// which in a fleet of seven zones is a gateway.
func TestMostLoadedNodeIsBounded(t *testing.T) {
	t.Parallel()
	w := steadyWorkload(50, 7, DefaultConfig().MergeInterval)
	w.organisations, w.changes, w.idle = 20, 3, settleTime
	c := w.run(t)
	must.Between(t, 100, c.mean, 1500)
	must.Between(t, c.mean, c.peak, 6500)
	must.Between(t, 100, c.idle, 300)
	must.Between(t, c.idle, c.peakIdle, 500)
	t.Log(c)
}

// BenchmarkMergeInterval reports convergence time against bytes for different
// merge intervals.
func BenchmarkMergeInterval(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 3}, {200, 7}} {
		for name, newWorkload := range map[string]func(int, int, time.Duration) workload{"burst": burstWorkload, "spread": steadyWorkload} {
			for _, merge := range []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second} {
				b.Run(fmt.Sprintf("nodes=%d/load=%s/merge=%v", size.nodes, name, merge), func(b *testing.B) {
					for b.Loop() {
						newWorkload(size.nodes, size.zones, merge).run(b).report(b)
					}
				})
			}
		}
	}
}

// BenchmarkSlope reports how the cost grows with the fleet.
func BenchmarkSlope(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 7}, {100, 7}, {200, 7}, {350, 7}, {700, 7}, {350, 1}, {614, 1}} {
		b.Run(fmt.Sprintf("nodes=%d/zones=%d", size.nodes, size.zones), func(b *testing.B) {
			for b.Loop() {
				w := steadyWorkload(size.nodes, size.zones, DefaultConfig().MergeInterval)
				w.organisations, w.changes = 400, 5
				w.run(b).report(b)
			}
		})
	}
}

// BenchmarkDesignSize reports the cost for a fleet of the design size, with few
// contracts to save memory.
func BenchmarkDesignSize(b *testing.B) {
	for b.Loop() {
		w := steadyWorkload(7*614, 7, DefaultConfig().MergeInterval)
		w.organisations, w.changes, w.idle = 20, 3, settleTime
		w.run(b).report(b)
	}
}

func (c cost) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(c.p50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(c.max.Milliseconds()), "max-ms")
	b.ReportMetric(c.mean, "B/change")
	b.ReportMetric(c.peak, "busiest-B/change")
	b.ReportMetric(c.idle, "idle-B/s")
	b.ReportMetric(c.peakIdle, "busiest-idle-B/s")
	b.ReportMetric(c.reads, "reads/s")
}
