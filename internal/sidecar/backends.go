package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/instance"
)

// backends keeps what the host's backend server says of itself. It implements
// platform.Backends.
type backends struct {
	pub  *published
	log  log.Logger
	node string
	// ttl is how long a backend server that isn't heard counts as there.
	ttl time.Duration
	// record writes to the store which instance is leaving.
	record func(ctx context.Context, node, instance string) error
	// changed is told after each change that other nodes need to know. It may
	// wait for the event loop, so the loop itself never brings it about.
	changed func(*instance.Instance)
	// awaitAnnounced waits, for a bounded time, until this node sends by what changed was told.
	awaitAnnounced func()
	// restarted is told the key of an instance that has made way for the next one
	// without a goodbye.
	restarted func(key string)

	// service is the host's service by its settings; nil or empty allows any.
	service atomic.Pointer[string]

	mu    sync.Mutex
	local instance.Local
	// down is set while connections to the backend server are refused.
	down bool
}

var _ platform.Backends = (*backends)(nil)

const (
	// missedHeartbeats is the number of heartbeats after which a backend server
	// that is silent is no longer offered; each may come seconds late.
	missedHeartbeats = 3
	// heartbeatLag is how late a heartbeat may arrive.
	heartbeatLag = 2 * time.Second
	// recordTimeout bounds how long an acknowledgement waits until the store
	// holds that the backend server leaves. Acknowledgements are due within a
	// second; without the store, the peers remember it.
	recordTimeout = 300 * time.Millisecond
)

// setService sets the host's service.
func (b *backends) setService(s string) { b.service.Store(&s) }

// hostService returns the host's service by its settings; empty if they don't tell it.
func (b *backends) hostService() string {
	if s := b.service.Load(); s != nil {
		return *s
	}
	return ""
}

// Hear implements platform.Backends.
func (b *backends) Hear(h instance.Heartbeat) {
	if own := b.hostService(); own != "" && h.Service != own {
		_ = b.log.Log("event", "backend_not_offered", "instance", h.Key(), "service", h.Service, "reason", "other-service")
		return
	}
	b.mu.Lock()
	before := b.local.Current()
	if (before == nil || before.ID != h.ID) && !b.offered(h.Service) {
		b.mu.Unlock()
		_ = b.log.Log("event", "backend_not_offered", "instance", h.Key(), "service", h.Service, "reason", "not-configured")
		return
	}
	news := b.local.RecordHeartbeat(time.Now(), h)
	after := b.local.Current()
	// Any word of the present start says that it is there.
	present := after != nil && after.ID == h.ID && (h.Born == 0 || h.Born == after.Born)
	revived := b.down && present && !news
	b.down = b.down && !present
	b.publish()
	b.mu.Unlock()
	if !news && !revived {
		return
	}
	_ = b.log.Log("event", "backend_heard", "instance", h.Key(), "service", h.Service, "version", h.Version, "slots", h.Slots,
		"draining", h.Draining, "sequence", h.Sequence, "cold", h.Cold)
	if before != nil && before.State == instance.Ready && after.Key() != before.Key() {
		b.restarted(before.Key())
	}
	b.changed(after)
	b.awaitAnnounced()
	wasReady := before == nil || before.Start != after.Start || before.State == instance.Ready
	if h.Draining && wasReady {
		b.recordDrain(h.Key())
	}
}

// Leave implements platform.Backends.
func (b *backends) Leave(s instance.Start) {
	b.mu.Lock()
	news := b.local.Leave(time.Now(), s)
	after := b.local.Current()
	b.publish()
	b.mu.Unlock()
	if !news {
		return
	}
	_ = b.log.Log("event", "backend_left", "instance", s.Key())
	b.changed(after)
	b.awaitAnnounced()
	b.recordDrain(s.Key())
}

// leavingStated records that an instance states in its responses that it is shutting down. It is
// called on a request's path, so the store is told in the background.
func (b *backends) leavingStated(key string) {
	b.mu.Lock()
	news := b.local.Leave(time.Now(), instance.ParseStart(key))
	after := b.local.Current()
	b.publish()
	b.mu.Unlock()
	if !news {
		return
	}
	_ = level.Info(b.log).Log("event", "backend_leaving_stated", "instance", key)
	b.changed(after)
	go b.recordDrain(key)
}

// offered reports whether a backend server may offer a service: the configuration names
// it. Without a configuration any may.
func (b *backends) offered(service string) bool {
	t := b.pub.table.Load()
	return t == nil || t.Service(service) != nil
}

// recordDrain writes to the store that an instance is leaving, so that a node
// that is restarted doesn't send to it again.
func (b *backends) recordDrain(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := b.record(ctx, b.node, key); err != nil {
		_ = level.Warn(b.log).Log("event", "drain_not_recorded", "instance", key, "err", err)
	}
}

// drained notes that an instance was leaving before this node started. It
// reports whether that is the present one, which is then withdrawn by the
// caller.
func (b *backends) drained(key string) bool {
	if key == "" {
		return false
	}
	b.mu.Lock()
	was := b.local.Forget(time.Now(), instance.ParseStart(key))
	if was && b.local.Current() != nil {
		b.down = true // the one that is back is announced with its next heartbeat
	}
	b.publish()
	b.mu.Unlock()
	_ = b.log.Log("event", "backend_drained_before", "instance", key, "present", was)
	return was
}

// replaced notes that another backend server has the address.
func (b *backends) replaced(key string) {
	b.mu.Lock()
	was := b.local.Forget(time.Now(), instance.ParseStart(key))
	after := b.local.Current()
	b.publish()
	b.mu.Unlock()
	if !was {
		return
	}
	_ = b.log.Log("event", "backend_replaced", "instance", key)
	b.changed(after)
}

// unreachable notes that connections to the backend server are refused. It is
// offered again with its next heartbeat.
func (b *backends) unreachable(key string) {
	b.mu.Lock()
	c := b.local.Current()
	was := c != nil && c.Key() == key && !b.down
	if was {
		b.down = true
		b.local.AssumeCold(time.Now()) // the next connection may reach a restarted backend server
		b.publish()
	}
	b.mu.Unlock()
	if !was {
		return
	}
	_ = b.log.Log("event", "backend_unreachable", "instance", key)
	b.changed(nil)
}

// reachable returns the current backend server; nil if there is none or it refuses connections.
func (b *backends) reachable() *instance.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil
	}
	return b.local.Current()
}

// assumeCold treats the backend server as cold until its next heartbeat.
func (b *backends) assumeCold(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.local.AssumeCold(now)
	b.publish()
}

// expire drops a backend server that wasn't heard for too long. It reports
// whether there was one, which is then withdrawn by the caller.
func (b *backends) expire(now time.Time) bool {
	b.mu.Lock()
	was := b.local.Expire(now, b.ttl)
	b.publish()
	b.mu.Unlock()
	if was {
		_ = b.log.Log("event", "backend_silent", "after", b.ttl)
	}
	return was
}

// publish hands the present instance to the path of a request. b.mu is held.
func (b *backends) publish() { b.pub.instance.Store(b.local.Current()) }
