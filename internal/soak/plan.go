// Package soak runs the real programs of a site as separate processes on
// loopback, injects faults from outside them, drawn from a seed, and checks what
// callers and backend servers see. It is a tool for developers and CI.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one kind of disturbance.
type Fault string

// The kinds of faults.
const (
	// FaultTerm ends a node by SIGTERM and starts it again.
	FaultTerm Fault = "term"
	// FaultKill kills a node and starts it again.
	FaultKill Fault = "kill"
	// FaultFreeze stops a node by SIGSTOP and lets it go on by SIGCONT.
	FaultFreeze Fault = "freeze"
	// FaultHup sends SIGHUP after a change of the settings file.
	FaultHup Fault = "hup"
	// FaultCutNode cuts a node from all others; its connections fall silent.
	FaultCutNode Fault = "cut-node"
	// FaultCutStore cuts a node from the store.
	FaultCutStore Fault = "cut-store"
	// FaultReset resets all connections to a node.
	FaultReset Fault = "reset"
	// FaultDelay delays everything that is sent to a node by other ones.
	FaultDelay Fault = "delay"
	// FaultStoreDown lets the store refuse every call.
	FaultStoreDown Fault = "store-down"
	// FaultStoreSlow lets each call of the store take long.
	FaultStoreSlow Fault = "store-slow"
	// FaultStoreLost lets the store lose answers of writes.
	FaultStoreLost Fault = "store-lost"
	// FaultCompact lets the store forget its history.
	FaultCompact Fault = "compact"
	// FaultChange changes the configuration.
	FaultChange Fault = "change"
	// FaultDrain drains a backend server and replaces it.
	FaultDrain Fault = "drain"
	// FaultCrash ends a backend server without a word and starts another one.
	FaultCrash Fault = "crash"
	// FaultReturn ends a backend server without a word and starts it again under its
	// identifier.
	FaultReturn Fault = "return"
	// FaultDeadly lets callers ask at all nodes in turn for what ends each backend server
	// that runs it.
	FaultDeadly Fault = "deadly"
	// FaultRestore lets the store go back to the copy that was taken when it began.
	FaultRestore Fault = "restore"
	// FaultSignals sends a node signals in series: SIGHUPs, SIGTERMs among further signals
	// until it has ended, and more of them while it starts.
	FaultSignals Fault = "signals"
	// FaultEvacuate evacuates a node's availability zone and ends the evacuation again.
	FaultEvacuate Fault = "evacuate"
	// FaultChanges writes versions in series that change timeouts of routes and the idle
	// timeout of callers' connections.
	FaultChanges Fault = "changes"
	// FaultBreakOff lets the answers of a node's backend servers stop or break off half-way.
	FaultBreakOff Fault = "break-off"
	// FaultForget lets a node's backend servers forget connections that have been idle: what is
	// sent on one is reset.
	FaultForget Fault = "forget"
	// FaultLimit lets a node's backend server state a limit of requests per second, then a
	// lower one.
	FaultLimit Fault = "limit"
	// FaultLimitKill lets a node's backend server state a limit of 0 while the node is killed and
	// started again, twice.
	FaultLimitKill Fault = "limit-kill"
	// FaultLimitQuiet lets a node's backend server state a limit, and all callers be quiet
	// meanwhile and begin again at one time.
	FaultLimitQuiet Fault = "limit-quiet"
	// FaultLeave lets a node's backend server state in its answers alone that it leaves.
	FaultLeave Fault = "leave"
)

// planned are the disturbances that belong to daily work.
var planned = []Fault{FaultTerm, FaultHup, FaultChange, FaultDrain}

// ofStore are the faults of the store.
var ofStore = []Fault{FaultStoreDown, FaultStoreSlow, FaultStoreLost, FaultCompact, FaultRestore}

// Planned reports whether the disturbance belongs to daily work, beside which
// nothing may be cut. So does one of idle connections only.
func (f Fault) Planned() bool {
	return f == FaultSignals || f == FaultEvacuate || f == FaultChanges || f == FaultForget || f == FaultLimit || f == FaultLimitKill || f == FaultLimitQuiet || f == FaultLeave || slices.Contains(planned, f)
}

// OfStore reports whether only the store is struck, beside which nothing may be cut either.
func (f Fault) OfStore() bool { return slices.Contains(ofStore, f) }

// all are the kinds that a plan draws from; planned work comes twice as often.
var all = append([]Fault{
	FaultTerm, FaultKill, FaultFreeze, FaultHup, FaultCutNode, FaultCutStore, FaultReset, FaultDelay,
	FaultStoreDown, FaultStoreSlow, FaultStoreLost, FaultCompact, FaultChange, FaultDrain, FaultCrash,
}, planned...)

// crashing are the kinds around backend servers that crash. There are no cuts among
// them: nodes that can't know of each other's crashes may each send a request on.
var crashing = []Fault{
	FaultDeadly, FaultDeadly, FaultReturn, FaultReturn, FaultCrash, FaultDrain, FaultChange,
	FaultTerm, FaultKill, FaultFreeze, FaultStoreDown,
}

// keyed are the kinds of a plan with keys: versions follow each other quickly.
var keyed = append([]Fault{FaultChange, FaultChange, FaultChange, FaultChange}, all...)

// series are the kinds of planned work in series, beside faults of the store.
var series = []Fault{
	FaultSignals, FaultSignals, FaultTerm, FaultHup, FaultHup, FaultChange, FaultChange, FaultDrain,
	FaultStoreDown, FaultStoreSlow, FaultStoreLost, FaultCompact,
}

// restoring are the kinds around a store that comes back from older copies.
var restoring = []Fault{
	FaultRestore, FaultRestore, FaultRestore, FaultChange, FaultChange, FaultDrain, FaultTerm, FaultKill,
	FaultCutStore, FaultStoreDown, FaultStoreSlow, FaultCompact,
}

// evacuating are the kinds of a plan with cold backend servers and evacuations.
var evacuating = []Fault{
	FaultEvacuate, FaultEvacuate, FaultCrash, FaultCrash, FaultReturn, FaultReturn, FaultDrain, FaultChange,
	FaultTerm, FaultKill, FaultCompact,
}

// pipelined are the kinds of planned work around connections in use, pipelinedBreaking those
// beside answers that break off.
var (
	pipelined         = []Fault{FaultChanges, FaultChanges, FaultChanges, FaultDrain, FaultDrain, FaultTerm, FaultHup}
	pipelinedBreaking = append([]Fault{FaultBreakOff, FaultBreakOff, FaultBreakOff}, pipelined...)
)

// habitualPlanned are the kinds of planned work in series around callers of all habits, habitual
// those beside faults of backend servers.
var (
	habitualPlanned = []Fault{
		FaultChanges, FaultChanges, FaultDrain, FaultTerm, FaultTerm, FaultTerm, FaultSignals, FaultHup, FaultForget,
		FaultStoreDown, FaultStoreSlow, FaultStoreLost, FaultCompact,
	}
	habitual = append([]Fault{FaultBreakOff, FaultBreakOff, FaultBreakOff, FaultCrash, FaultCrash, FaultForget, FaultForget, FaultKill}, habitualPlanned...)
)

// stating are the kinds around backend servers that state limits, and that they leave: nodes that
// have to learn that anew or in spite of each other.
var stating = []Fault{
	FaultLimit, FaultLimit, FaultLimit, FaultLimit, FaultLimit, FaultLimitKill, FaultLimitKill, FaultLimitQuiet, FaultLimitQuiet, FaultLeave, FaultLeave, FaultKill, FaultKill, FaultTerm, FaultFreeze,
	FaultCutNode, FaultCutStore, FaultReset, FaultDelay, FaultStoreDown, FaultCrash, FaultReturn, FaultDrain, FaultChange,
}

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
