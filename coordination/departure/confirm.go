package departure

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/instance"
)

const (
	// confirmingHeartbeats is the number of heartbeats in a row that confirm a backend server. A few
	// may all be late.
	confirmingHeartbeats = 4
	// maxHeartbeatGap is the longest time between two of them, in intervals: two in a row may be lost.
	maxHeartbeatGap = 3
)

// Check is the result of a health check of a backend server.
type Check uint8

// The results.
const (
	// Unanswered means that the check failed or was refused, as by a backend server that is busy
	// or shutting down. It is repeated with the next heartbeat.
	Unanswered Check = iota
	// InService means that the instance says that it is healthy and not shutting down.
	InService
	// Anonymous means that the health check succeeds without telling which instance it is for, so
	// that it proves nothing. It isn't repeated.
	Anonymous
)

// Confirmation decides whether the backend server beside a node is in service while a departure may
// have been forgotten, see Settled. It is confirmed by a health check that names its instance, or by
// heartbeats that go on: a single one, or several that arrive together, may be late ones of a backend
// server that has departed. It is not safe for concurrent use.
type Confirmation struct {
	interval time.Duration // between two heartbeats

	key       string // of the instance that was heard last
	confirmed bool
	sequence  uint64 // of its last heartbeat
	// count is the number of heartbeats in a row, each at least half an interval after the one
	// before; firstAt and lastAt are when they arrived.
	count           int
	firstAt, lastAt time.Time
	// check is the result of the last health check, and mayCheck allows the next one.
	check    Check
	mayCheck bool
}

// NewConfirmation returns a Confirmation for heartbeats that are sent at an interval.
func NewConfirmation(interval time.Duration) *Confirmation { return &Confirmation{interval: interval} }

// Heard records the newest heartbeat of an instance.
func (c *Confirmation) Heard(now time.Time, i *instance.Instance) {
	if i.Key() != c.key {
		*c = Confirmation{interval: c.interval, key: i.Key()}
	} else if i.Sequence <= c.sequence {
		return
	}
	c.sequence, c.mayCheck = i.Sequence, true
	switch gap := now.Sub(c.lastAt); {
	case c.count == 0 || gap > maxHeartbeatGap*c.interval:
		c.count, c.firstAt, c.lastAt = 1, now, now
	case gap >= c.interval/2:
		c.count++
		c.lastAt = now
	}
	if c.count >= confirmingHeartbeats && c.lastAt.Sub(c.firstAt) >= c.confirmingTime() {
		c.confirmed = true
	}
}

// confirmingTime returns the time that the heartbeats have to span: somewhat less than they do as they
// are sent, since intervals vary.
func (c *Confirmation) confirmingTime() time.Duration {
	return (confirmingHeartbeats - 1) * c.interval * 3 / 4
}

// CheckDue reports whether to check the health of the instance now. Each heartbeat allows one check;
// the caller makes it and reports Checked.
func (c *Confirmation) CheckDue() bool {
	due := c.mayCheck && !c.confirmed && c.check != Anonymous
	c.mayCheck = false
	return due
}

// Checked records the result of a health check of an instance.
func (c *Confirmation) Checked(key string, result Check) {
	if key != c.key {
		return
	}
	c.check = result
	c.confirmed = c.confirmed || result == InService
}

// Confirmed reports whether an instance is in service.
func (c *Confirmation) Confirmed(key string) bool { return c.confirmed && key == c.key }
