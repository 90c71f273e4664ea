package sidecar

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/departure"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// backendConfirmed reports that the current backend server, which was withheld, is in service.
type backendConfirmed struct{}

// Event implements core.Event.
func (backendConfirmed) Event() {}

// withheld reports whether the current instance is ready and not offered yet: departures before the
// node's start aren't known, or may have been forgotten. b.mu is held.
func (b *backends) withheld() bool {
	c := b.local.Current()
	if c == nil || c.State != instance.Ready {
		return false
	}
	return b.unsettled || b.inDoubt && !b.confirmation.Confirmed(c.Key())
}

// checkInDoubt checks, in the background, the health of a backend server that is withheld because a
// departure may have been forgotten.
func (b *backends) checkInDoubt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unsettled || !b.withheld() {
		return
	}
	c := b.local.Current()
	path := b.healthPath(c.Service)
	if path == "" || !b.confirmation.CheckDue() {
		return
	}
	go func() {
		id, err := b.checkHealth(c.Addr, path)
		b.checked(c, id, err)
	}()
}

// checked records the result of a health check.
func (b *backends) checked(c *instance.Instance, id string, err error) {
	result := departure.Anonymous
	switch {
	case err != nil:
		result = departure.Unanswered
	case id == c.ID:
		result = departure.InService
	}
	b.mu.Lock()
	unconfirmed := b.withheld()
	b.confirmation.Checked(c.Key(), result)
	withheld := b.withheld()
	b.publish()
	b.mu.Unlock()
	if unconfirmed && !withheld {
		b.confirm(c.Key(), "health")
		return
	}
	_ = level.Info(b.log).Log("event", "backend_unconfirmed", "instance", c.Key(), "id", id, "err", err)
}

// confirm offers an instance that was withheld.
func (b *backends) confirm(key, by string) {
	_ = level.Info(b.log).Log("event", "backend_confirmed", "instance", key, "by", by)
	b.confirmed()
}

// healthCheck returns a function that checks the health of a backend server and counts the results.
func (n *Node) healthCheck() func(addr, path string) (string, error) {
	checks := platform.NewHealthChecks(n.localIP(), forward.CheckedTransport)
	return func(addr, path string) (string, error) {
		began := time.Now()
		id, err := checks.Check(n.ctx, addr, path)
		n.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthgate_health_checks_total{ok=%q}", fmt.Sprint(err == nil))).Inc()
		n.metrics.GetOrCreateHistogram("jacinthgate_health_check_seconds").UpdateDuration(began)
		return id, err
	}
}
