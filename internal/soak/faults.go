package soak

import "slices"

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
	// FaultTogether lets all backend servers of a service crash at the same moment beside one
	// popular request, and kills all nodes then. All return.
	FaultTogether Fault = "together"
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
	// FaultSilence lets all open connections between nodes, and between nodes and the store, carry
	// nothing more, without a reset. New ones work.
	FaultSilence Fault = "silence"
	// FaultForeign sends a node heartbeats of a backend server of another service.
	FaultForeign Fault = "foreign"
	// FaultForgotten lets a node's backend server say goodbye while the store is away. The node is
	// killed as it has acknowledged that, and a late heartbeat arrives after its next start.
	FaultForgotten Fault = "forgotten"
	// FaultForgottenByAll is FaultForgotten with all nodes killed at the same moment.
	FaultForgottenByAll Fault = "forgotten-by-all"
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

// together are the kinds around backend servers that crash at the same moment.
var together = []Fault{FaultTogether, FaultTogether, FaultReturn, FaultCrash, FaultDrain, FaultChange, FaultTerm}

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

// silencing are the kinds around connections that fall silent beside versions.
var silencing = []Fault{FaultSilence, FaultChange, FaultChange}

// leaving are the kinds around backend servers that say goodbye while the store is away, nodes that
// are killed, and heartbeats of other writers.
var leaving = []Fault{
	FaultStoreDown, FaultStoreDown, FaultStoreLost, FaultDrain, FaultDrain, FaultDrain, FaultKill, FaultKill, FaultTerm,
	FaultForeign, FaultForeign, FaultForeign, FaultChange, FaultForgotten, FaultForgotten,
}

// forgetting are the kinds around goodbyes that nobody remembers, since all nodes are killed.
var forgetting = []Fault{
	FaultForgottenByAll, FaultForgottenByAll, FaultForeign, FaultDrain, FaultDrain, FaultStoreLost, FaultKill, FaultTerm, FaultChange,
}

// stating are the kinds around backend servers that state limits, and that they leave: nodes that
// have to learn that anew or in spite of each other.
var stating = []Fault{
	FaultLimit, FaultLimit, FaultLimit, FaultLimit, FaultLimit, FaultLimitKill, FaultLimitKill, FaultLimitQuiet, FaultLimitQuiet, FaultLeave, FaultLeave, FaultKill, FaultKill, FaultTerm, FaultFreeze,
	FaultCutNode, FaultCutStore, FaultReset, FaultDelay, FaultStoreDown, FaultCrash, FaultReturn, FaultDrain, FaultChange,
}
