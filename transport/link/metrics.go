package link

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// meter holds the metrics of a manager.
type meter struct {
	set *metrics.Set
}

// newMeter returns a meter and registers the gauges, which read the manager's
// state when they are scraped.
func newMeter(m *Manager) meter {
	set := m.cfg.Metrics
	set.NewGauge("jacinthgate_link_peers", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(len(m.peers))
	})
	set.NewGauge("jacinthgate_link_connections", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		n := 0
		for _, r := range m.peers {
			n += len(r.conns)
		}
		return float64(n)
	})
	set.NewGauge("jacinthgate_link_queue_messages", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.queue.Len())
	})
	return meter{set: set}
}

// bytes counts the bytes of an encoded message under its kind, which is the first
// byte.
func (mt meter) bytes(direction string, encoded []byte) {
	kind := "unknown"
	if len(encoded) > 0 {
		kind = kindName(message.Kind(encoded[0]))
	}
	name := fmt.Sprintf("jacinthgate_link_bytes_total{direction=%q,kind=%q}", direction, kind)
	mt.set.GetOrCreateCounter(name).Add(len(encoded))
}

// dropped counts n messages that were not sent.
func (mt meter) dropped(reason string, n int) {
	mt.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_link_dropped_total{reason=%q}", reason)).Add(n)
}

// acceptFailed counts a connection that could not be accepted.
func (mt meter) acceptFailed() {
	mt.set.GetOrCreateCounter("jacinthgate_link_accept_failures_total").Inc()
}

// unreadable counts a message that could not be decoded.
func (mt meter) unreadable(kind message.Kind) {
	mt.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_link_unreadable_total{kind=%q}", kindName(kind))).Inc()
}

// ended counts a connection that has ended after its handshake.
func (mt meter) ended() {
	mt.set.GetOrCreateCounter("jacinthgate_link_ended_total").Inc()
}

// refused counts a refused peer.
func (mt meter) refused(reason string) {
	mt.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_link_refused_total{reason=%q}", reason)).Inc()
}
