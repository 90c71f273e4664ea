// Package instance tracks the backend server on a node's host: which instance of it
// runs, which service it offers, and whether it is draining.
//
// An instance is one run of a backend server's process. A backend server may use its
// identifier again after a restart, so an instance is identified by that identifier and
// its start time. Heartbeats may arrive late and out of order: they are ordered by start
// time, then by sequence, which each instance counts from the beginning. An instance that
// has left is never used again.
package instance

import "time"

// Heartbeat is the status that a backend server reports to the node on its host.
type Heartbeat struct {
	Start
	// Addr is the address on which it accepts requests, IP:port.
	Addr string
	// Service is the service that it offers.
	Service string
	// Version is the version of its software; empty if not reported.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining reports that it is about to shut down.
	Draining bool
	// Sequence increases with each heartbeat of the instance.
	Sequence uint64
	// Cold is the remaining time for which it stays slow after its start.
	Cold time.Duration
}

// State is the stage of an instance's life cycle.
type State uint8

// The states, in order. An instance never returns to an earlier one.
const (
	// Ready means that it accepts requests.
	Ready State = iota
	// Draining means that it finishes its requests and will soon accept no new ones.
	Draining
	// Gone means that it no longer accepts requests.
	Gone
)

// Instance is the state of one instance by its last heartbeat.
type Instance struct {
	Heartbeat
	State State
	// LastHeartbeat is the time at which the last heartbeat arrived.
	LastHeartbeat time.Time
	// DrainSince is the time at which the node first learned that it drains; zero while
	// it is ready.
	DrainSince time.Time
	// WarmAt is the time at which it is no longer slow after its start.
	WarmAt time.Time

	key string
}

// newInstance returns the instance that sent a first heartbeat.
func newInstance(now time.Time, h Heartbeat) *Instance {
	i := &Instance{Heartbeat: h, LastHeartbeat: now, WarmAt: now.Add(h.Cold), key: h.Start.Key()}
	if h.Draining {
		i.drain(now)
	}
	return i
}

// updated returns a copy of the instance updated by a further heartbeat.
func (i *Instance) updated(now time.Time, h Heartbeat) *Instance {
	if h.Born == 0 {
		h.Born = i.Born
	}
	next := newInstance(now, h)
	next.State, next.DrainSince = i.State, i.DrainSince
	if h.Draining {
		next.drain(now)
	}
	return next
}

// Key returns the name of the instance for other nodes and the store, see Start.Key.
func (i *Instance) Key() string { return i.key }

// drain marks the instance as draining since now, unless it drains or is gone already.
func (i *Instance) drain(now time.Time) {
	if i.State == Ready {
		i.State = Draining
		i.DrainSince = now
	}
}
