// Package soak runs the real programs of a site as separate processes on
// loopback, injects faults from outside them, drawn from a seed, and checks what
// callers and backend servers see. It is a tool for developers and CI.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Step is one disturbance of a plan.
type Step struct {
	// At is when it begins, from the start of the plan.
	At time.Duration
	// Fault is its kind.
	Fault Fault
	// Node is the number of the node that it strikes; kinds that strike the
	// store ignore it.
	Node int
	// For is how long it lasts, where it lasts.
	For time.Duration
}

// String returns the step in one word.
func (s Step) String() string {
	return fmt.Sprintf("%.1fs:%s(%d,%.1fs)", s.At.Seconds(), s.Fault, s.Node, s.For.Seconds())
}

// Plan is a schedule of disturbances.
type Plan struct {
	// Seed is what it was drawn from.
	Seed uint64
	// Nodes is the number of nodes.
	Nodes int
	// Length is the time in which disturbances begin.
	Length time.Duration
	// Steps are in order of time. They overlap.
	Steps []Step
	// Keyed says that callers show keys, which come and go with versions, and that an
	// organisation floods.
	Keyed bool
	// Evacuating says that zones are evacuated, and that backend servers are cold after a start
	// and when the evacuation of their zone ends.
	Evacuating bool
	// Ahead says that callers send several requests of different routes behind one another,
	// and that backend servers are slow with some answers and leave out the length of others.
	Ahead bool
	// Habits says that callers use their connections in different ways: some send several
	// requests behind one another, open a connection for each, take answers slowly or leave.
	Habits bool
}

// Bounds of what a plan draws.
const (
	// stepEvery is the mean time between two disturbances: they overlap, and
	// most of them are over before the next two have begun.
	stepEvery = 900 * time.Millisecond
	// seriesEvery is that time in a series.
	seriesEvery = 300 * time.Millisecond
	// shortest and longest bound how long one lasts: from less than a heartbeat
	// between nodes to more than the time after which a silent node is dropped.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
)

// NewPlan draws a schedule of all kinds. The same arguments give the same plan.
func NewPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(all, stepEvery, seed, nodes, length)
}

// NewPlannedPlan draws a schedule of planned work alone: what that may not cut is
// seldom seen beside other disturbances.
func NewPlannedPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(planned, stepEvery, seed, nodes, length)
}

// NewCrashPlan draws a schedule around backend servers that crash, return under their
// identifier, and get requests that end them.
func NewCrashPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(crashing, stepEvery, seed, nodes, length)
}

// NewTogetherPlan draws a schedule around backend servers that crash at the same moment beside one
// popular request.
func NewTogetherPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(together, 2*stepEvery, seed, nodes, length)
}

// NewKeyPlan draws a schedule of all kinds in which keys come and go.
func NewKeyPlan(seed uint64, nodes int, length time.Duration) Plan {
	p := draw(keyed, stepEvery, seed, nodes, length)
	p.Keyed = true
	return p
}

// NewRestorePlan draws a schedule around a store that comes back from older copies.
func NewRestorePlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(restoring, stepEvery, seed, nodes, length)
}

// NewSeriesPlan draws a schedule of planned work in series that overlap, with signals at any
// moment of a process, beside faults of the store.
func NewSeriesPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(series, seriesEvery, seed, nodes, length)
}

// NewEvacuationPlan draws a schedule around cold backend servers and evacuations of zones.
func NewEvacuationPlan(seed uint64, nodes int, length time.Duration) Plan {
	p := draw(evacuating, 2*stepEvery, seed, nodes, length)
	p.Evacuating = true
	return p
}

// NewStatementPlan draws a schedule around backend servers that state limits and that they leave.
func NewStatementPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(stating, seriesEvery, seed, nodes, length)
}

// NewSilencePlan draws a schedule of versions while connections fall silent. There are few, since
// what must be in force can be told only some time after a silence.
func NewSilencePlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(silencing, 2*stepEvery, seed, nodes, length)
}

// NewLeavingPlan draws a schedule around goodbyes while the store is away and nodes are killed.
func NewLeavingPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(leaving, seriesEvery, seed, nodes, length)
}

// NewForgottenPlan draws a schedule around goodbyes after which all nodes are killed while the store is
// away.
func NewForgottenPlan(seed uint64, nodes int, length time.Duration) Plan {
	return draw(forgetting, stepEvery, seed, nodes, length)
}

// NewAheadPlan draws a schedule around connections that are in use: planned work, with
// versions in series, and with breaks also answers that break off.
func NewAheadPlan(seed uint64, nodes int, length time.Duration, breaks bool) Plan {
	kinds := pipelined
	if breaks {
		kinds = pipelinedBreaking
	}
	p := draw(kinds, stepEvery, seed, nodes, length)
	p.Ahead = true
	return p
}

// NewHabitPlan draws a schedule of planned work in series around callers of all habits, with
// faults also beside those of backend servers.
func NewHabitPlan(seed uint64, nodes int, length time.Duration, faults bool) Plan {
	kinds := habitualPlanned
	if faults {
		kinds = habitual
	}
	p := draw(kinds, seriesEvery, seed, nodes, length)
	p.Ahead, p.Habits = true, true
	return p
}

// draw draws a schedule of some kinds, with a mean time between two disturbances.
func draw(kinds []Fault, every time.Duration, seed uint64, nodes int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, seed))
	p := Plan{Seed: seed, Nodes: nodes, Length: length}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(every))
		if at >= length {
			return p
		}
		p.Steps = append(p.Steps, Step{
			At:    at.Round(100 * time.Millisecond),
			Fault: kinds[rng.IntN(len(kinds))],
			Node:  rng.IntN(nodes),
			For:   (shortest + time.Duration(rng.Float64()*float64(longest-shortest))).Round(100 * time.Millisecond),
		})
	}
}

// String returns the plan in one line.
func (p Plan) String() string {
	words := make([]string, 0, len(p.Steps))
	for _, s := range p.Steps {
		words = append(words, s.String())
	}
	return strings.Join(words, " ")
}
