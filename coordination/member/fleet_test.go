package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// BenchmarkFleet reports the traffic and propagation times of membership in fleets
// of five zones with the parameters of jacinthgate-sidecar. It covers a first start,
// an idle period, and the drain, crash and restart of one host. All times are
// virtual; propagation times are in steps of 50 ms. docs/CAPACITY.md lists the results.
func BenchmarkFleet(b *testing.B) {
	for _, perZone := range []int{60, 197, 394} {
		b.Run(fmt.Sprintf("hosts=%d", 5*perZone), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, perZone)
			}
		})
	}
}

// benchmarkFleet simulates one fleet with perZone hosts in each zone and reports its metrics.
func benchmarkFleet(b *testing.B, perZone int) {
	const zones, seedsPerZone = 5, 10
	n := newNetwork(b, zones, perZone, 3)
	n.cfg = sidecarConfig()
	n.seedsByZone = true
	for z := range zones {
		for i := range seedsPerZone {
			n.seeds = append(n.seeds, record(z, i*perZone/seedsPerZone).PeerAddr)
		}
	}
	hosts := float64(len(n.ids))
	n.runFor(20 * time.Second)
	if !n.all(n.agreed) {
		b.Fatal("membership tables do not agree 20 s after the start")
	}
	b.ReportMetric(float64(n.bytes)/hosts, "start-B/host")
	b.ReportMetric(float64(n.crossZoneBytes), "start-cross-zone-B")

	const idle = 20 * time.Second
	n.resetCounts()
	n.runFor(idle)
	b.ReportMetric(float64(n.bytes)/hosts/idle.Seconds(), "idle-B/host/s")
	b.ReportMetric(float64(n.messages)/hosts/idle.Seconds(), "idle-messages/host/s")

	n.resetCounts()
	x := n.nodes[record(2, perZone/2).Node]
	n.step(x, Announce{Service: x.rec.Service, Slots: 10, Connections: 110, Draining: true})
	drainTime := n.runUntil("drain", 10*time.Second, func(o *node) bool {
		r, held := o.core.Table().Get(x.id)
		return held && r.Draining
	})
	b.ReportMetric(drainTime.Seconds(), "drain-s")
	b.ReportMetric(float64(n.bytes), "drain-B")

	n.crash(x.id)
	failureTime := n.runUntil("death", time.Minute, hasStatus(x.id, endpoint.StatusFailed))
	b.ReportMetric(failureTime.Seconds(), "death-s")

	n.start(x.id)
	restartTime := n.runUntil("return", time.Minute, hasStatus(x.id, endpoint.StatusAlive))
	b.ReportMetric(restartTime.Seconds(), "return-s")
}

// sidecarConfig returns the parameters of jacinthgate-sidecar. It must match the
// unexported memberConfig of internal/sidecar.
func sidecarConfig() Config {
	cfg := DefaultConfig()
	cfg.HeartbeatInterval = 700 * time.Millisecond
	cfg.SuspectAfter = 2500 * time.Millisecond
	cfg.ConnectTimeout = 2 * time.Second
	cfg.BackoffMax = 2 * time.Second
	cfg.UnlinkedZoneDelay = 2 * time.Second
	cfg.RejoinInterval = 3 * time.Second
	cfg.ConnectsPerSecond = 10
	cfg.ConnectBurst = 20
	cfg.DigestInterval = 3 * time.Second
	cfg.RequestTimeout = time.Second
	cfg.LinkLinger = 3 * time.Second
	return cfg
}
