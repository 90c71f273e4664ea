package local

import (
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Registry.
type Config struct {
	// Interval is the interval at which a backend server must renew its announcement.
	Interval time.Duration
	// MissedIntervals is the number of intervals without a renewal after which the
	// announcement is withdrawn.
	MissedIntervals int
	// Now is the clock.
	Now func() time.Time
}

// DefaultConfig returns the settings of a node.
func DefaultConfig() Config {
	return Config{Interval: 2 * time.Second, MissedIntervals: 3, Now: time.Now}
}

// Registry holds the announcement of the host's only backend server. It is safe for
// concurrent use.
type Registry struct {
	cfg     Config
	current atomic.Pointer[Announcement]

	mu      sync.Mutex
	renewed time.Time // the last announcement or renewal
	// drainNext makes the next announced backend server draining.
	drainNext bool
	onChange  func(Announcement)
}

// New returns a registry without an announcement.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg}
	r.current.Store(&Announcement{})
	return r
}

// Current returns the current announcement; the zero value if there is none. It is one
// atomic load.
func (r *Registry) Current() Announcement { return *r.current.Load() }

// OnChange sets the function that is called after each change of the announcement, in
// order and one call at a time. Renewals are not changes. The function must not call
// any method of the Registry but Current.
func (r *Registry) OnChange(f func(Announcement)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = f
}

// Announce stores or renews an announcement. It returns a *FieldError and changes
// nothing if a is invalid. A renewal preserves the draining state: a drain ends only by
// Drain(false), by a withdrawal, or when another address or service is announced.
func (r *Registry) Announce(a Announcement) error {
	if err := a.validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.Current()
	now := r.cfg.Now()
	r.renewed = now
	a.Since = now
	if a.Service == old.Service && a.Addr == old.Addr {
		a.Since = old.Since
		a.Draining = a.Draining || old.Draining
	}
	a.Draining = a.Draining || r.drainNext
	r.drainNext = false
	r.set(a)
	return nil
}

// Drain sets or clears the draining state. It returns a *NoServerError if no backend
// server is announced.
func (r *Registry) Drain(draining bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.Current()
	if !a.Announced() {
		return &NoServerError{}
	}
	a.Draining = draining
	r.set(a)
	return nil
}

// RestoreDrain restores a drain that was requested before the node restarted: the
// current backend server, or the next one to be announced, is draining.
func (r *Registry) RestoreDrain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.Current()
	if !a.Announced() {
		r.drainNext = true
		return
	}
	a.Draining = true
	r.set(a)
}

// Withdraw removes the announcement.
func (r *Registry) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(Announcement{})
}

// Tick withdraws the announcement if it was not renewed in time. It should be called
// about every second.
func (r *Registry) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := time.Duration(r.cfg.MissedIntervals) * r.cfg.Interval
	if r.Current().Announced() && r.cfg.Now().Sub(r.renewed) > limit {
		r.set(Announcement{})
	}
}

// set replaces the announcement and calls onChange if it differs. r.mu must be held.
func (r *Registry) set(a Announcement) {
	if a == r.Current() {
		return
	}
	r.current.Store(&a)
	if r.onChange != nil {
		r.onChange(a)
	}
}

// NoServerError reports that no backend server is announced.
type NoServerError struct{}

// Error implements error.
func (*NoServerError) Error() string { return "no backend server is announced" }
