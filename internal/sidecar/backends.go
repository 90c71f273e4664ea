package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/departure"
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

	// leaving tells the peers that an instance beside the node has departed. keptByPeer is called
	// once one of them remembers it.
	leaving func(key string)

	mu    sync.Mutex
	local instance.Local
	// down is set while connections to the backend server are refused.
	down bool
	// unsettled is set until the node has learned which instances had departed before its start.
	// Nothing is offered until then.
	unsettled bool
	// inDoubt is set while a departure may have been forgotten: what is offered has to be confirmed.
	inDoubt      bool
	confirmation *departure.Confirmation
	// checkHealth checks the health of a backend server; the path of a service's health checks is
	// empty if it isn't known.
	checkHealth func(addr, path string) (id string, err error)
	healthPath  func(service string) string
	// confirmed announces the current instance, which was withheld.
	confirmed func()
	// unkept are the departures that nobody else is known to remember.
	unkept map[string]*unkept
}

var _ platform.Backends = (*backends)(nil)

const (
	// missedHeartbeats is the number of heartbeats after which a backend server
	// that is silent is no longer offered; each may come seconds late.
	missedHeartbeats = 3
	// heartbeatLag is how late a heartbeat may arrive.
	heartbeatLag = 2 * time.Second
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
func (b *backends) Hear(h instance.Heartbeat) error {
	if own := b.hostService(); own != "" && h.Service != own {
		_ = b.log.Log("event", "backend_not_offered", "instance", h.Key(), "service", h.Service, "reason", "other-service")
		return nil
	}
	b.mu.Lock()
	before := b.local.Current()
	if (before == nil || before.ID != h.ID) && !b.offered(h.Service) {
		b.mu.Unlock()
		_ = b.log.Log("event", "backend_not_offered", "instance", h.Key(), "service", h.Service, "reason", "not-configured")
		return nil
	}
	news := b.local.RecordHeartbeat(time.Now(), h)
	after := b.local.Current()
	// Any word of the present start says that it is there.
	present := after != nil && after.ID == h.ID && (h.Born == 0 || h.Born == after.Born)
	revived := b.down && present && !news
	b.down = b.down && !present
	unconfirmed := b.withheld()
	if present {
		b.confirmation.Heard(time.Now(), after)
	}
	withheld := b.withheld()
	b.publish()
	b.mu.Unlock()
	if unconfirmed && !withheld {
		b.confirm(after.Key(), "heartbeats")
	}
	if h.Draining && present && b.isUnkept(after.Key()) {
		return b.keep(after.Key())
	}
	if withheld {
		b.checkInDoubt()
	}
	if !news && !revived {
		return nil
	}
	_ = b.log.Log("event", "backend_heard", "instance", h.Key(), "service", h.Service, "version", h.Version, "slots", h.Slots,
		"draining", h.Draining, "sequence", h.Sequence, "cold", h.Cold)
	if before != nil && before.State == instance.Ready && after.Key() != before.Key() {
		b.restarted(before.Key())
	}
	if withheld {
		return nil
	}
	b.changed(after)
	b.awaitAnnounced()
	wasReady := before == nil || before.Start != after.Start || before.State == instance.Ready
	if h.Draining && wasReady {
		return b.keep(after.Key())
	}
	return nil
}

// Leave implements platform.Backends.
func (b *backends) Leave(s instance.Start) error {
	news, after, key := b.leave(s)
	if b.isUnkept(key) {
		return b.keep(key)
	}
	if !news {
		return nil
	}
	_ = b.log.Log("event", "backend_left", "instance", key)
	b.changed(after)
	b.awaitAnnounced()
	return b.keep(key)
}

// leave records that an instance is leaving. It reports whether that is news, the current instance
// after it, and the key of the one that leaves.
func (b *backends) leave(s instance.Start) (news bool, after *instance.Instance, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news = b.local.Leave(time.Now(), s)
	after = b.local.Current()
	b.publish()
	if after != nil && after.ID == s.ID && s.Born == 0 {
		return news, after, after.Key()
	}
	return news, after, s.Key()
}

// leavingStated records that an instance states in its responses that it is shutting down. It is
// called on a request's path, so the store is told in the background.
func (b *backends) leavingStated(stated string) {
	news, after, key := b.leave(instance.ParseStart(stated))
	if !news {
		return
	}
	_ = level.Info(b.log).Log("event", "backend_leaving_stated", "instance", key)
	b.changed(after)
	go func() { _ = b.keep(key) }() // nobody waits for an acknowledgement; a failure is logged
}

// offered reports whether a backend server may offer a service: the configuration names
// it. Without a configuration any may.
func (b *backends) offered(service string) bool {
	t := b.pub.table.Load()
	return t == nil || t.Service(service) != nil
}

// drained notes that an instance was leaving before this node started. It
// reports whether that is the present one, which is then withdrawn by the
// caller.
func (b *backends) drained(key string) bool {
	b.mu.Lock()
	if c := b.local.Current(); c != nil && c.Key() == key && c.State != instance.Ready {
		b.mu.Unlock()
		return false // it is leaving in this start of the node too
	}
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

// settle offers what has been heard since the node's start, and returns it as reachable does. What
// is in doubt has to be confirmed first. The caller announces it.
func (b *backends) settle(inDoubt bool) *instance.Instance {
	b.mu.Lock()
	b.unsettled, b.inDoubt = false, inDoubt
	b.publish()
	b.mu.Unlock()
	b.checkInDoubt()
	return b.reachable()
}

// reachable returns the current backend server; nil if there is none, it isn't offered yet or it
// refuses connections.
func (b *backends) reachable() *instance.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down || b.withheld() {
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

// publish hands the present instance to the path of a request, but for a ready one that isn't
// offered yet. b.mu is held.
func (b *backends) publish() {
	if b.withheld() {
		b.pub.instance.Store(nil)
		return
	}
	b.pub.instance.Store(b.local.Current())
}
