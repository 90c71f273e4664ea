package soak

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	// slowStore is the time of a call to a slow store: fifty times the usual 4 ms.
	slowStore = model.Duration(200 * time.Millisecond)
	// linkDelay is what a delayed link adds to each piece.
	linkDelay = 50 * time.Millisecond
	// ackTime is how long a leaving backend server waits for its
	// acknowledgement before it leaves all the same.
	ackTime = 4 * time.Second
	// settled is how long after a process has started its start counts as a
	// disturbance: its caller and its peers are still finding it.
	settled = 3 * time.Second
)

// disturb carries out one step.
func (s *soak) disturb(ctx context.Context, step Step) {
	n := s.site.nodes[step.Node]
	over := s.open(step.Fault, step.Node)
	defer over()
	switch step.Fault {
	case FaultTerm, FaultKill, FaultFreeze, FaultSignals:
		s.strike(ctx, n, step)
	case FaultHup:
		s.hup(n)
	case FaultCutNode:
		s.site.cutNode(n, true)
		wait(ctx, step.For)
		s.site.cutNode(n, false)
	case FaultCutStore:
		s.site.cut(n.side(), storeSide, true)
		wait(ctx, step.For)
		s.site.cut(n.side(), storeSide, false)
	case FaultReset:
		for _, r := range n.relays {
			r.Reset()
		}
	case FaultSilence:
		s.site.silence()
	case FaultForeign:
		s.beatForeign(ctx, n, step)
	case FaultForgotten:
		s.sayGoodbyeAndKill(ctx, n, []*node{n}, step)
	case FaultForgottenByAll:
		s.sayGoodbyeAndKill(ctx, n, s.site.nodes, step)
	case FaultDelay:
		s.delay(n, linkDelay)
		wait(ctx, step.For)
		s.delay(n, 0)
	case FaultStoreDown, FaultStoreSlow, FaultStoreLost:
		s.setStore(step.Fault, 1)
		wait(ctx, step.For)
		s.setStore(step.Fault, -1)
	case FaultCompact:
		s.site.store.Compact()
	case FaultChange:
		s.versions.change()
	case FaultDrain:
		s.drain(ctx, n)
	case FaultCrash:
		s.crash(ctx, n, step.For, func() error { return n.host.replace(int(time.Now().UnixMilli() % 1000)) })
	case FaultReturn:
		s.crash(ctx, n, step.For, n.host.again)
	case FaultRestore:
		s.restore(ctx, step)
	case FaultDeadly:
		s.askDeadly(ctx, step)
	case FaultTogether:
		s.crashTogether(ctx, step)
	case FaultEvacuate:
		s.evacuate(ctx, step)
	case FaultChanges:
		s.changes(ctx, step)
	case FaultBreakOff:
		countFor(ctx, step, n.host.behaviours.breaking)
	case FaultLimit:
		s.stateLimits(ctx, step)
	case FaultLimitKill:
		s.limitAndKill(ctx, step)
	case FaultLimitQuiet:
		s.limitAndPause(ctx, step)
	case FaultLeave:
		s.stateLeaving(ctx, step)
	case FaultForget:
		countFor(ctx, step, n.host.behaviours.forgetting)
	}
}

// foreignService is a service that no configuration names.
const foreignService = "foreign"

// oddID is a path segment for an identifier that is not UTF-8.
const oddID = "%ff%fe"

// beatForeign sends a node heartbeats of a backend server of another service while the step lasts, and
// goodbyes and heartbeats with an odd identifier.
func (s *soak) beatForeign(ctx context.Context, n *node, step Step) {
	foreign := &platformtest.Backend{ID: "i-foreign", Service: foreignService, Slots: serverSlots, Born: time.Now().UnixMilli()}
	odd := &platformtest.Backend{ID: oddID, Service: n.set.Service, Slots: serverSlots}
	until := time.Now().Add(step.For)
	for time.Now().Before(until) && ctx.Err() == nil {
		// The node may be away, and refuses what is odd.
		_ = foreign.Beat(n.addr(portBackend), n.addr(portBackend), false)
		_ = odd.Leave(n.addr(portBackend))
		_ = odd.Beat(n.addr(portBackend), n.addr(portBackend), false)
		wait(ctx, heartbeatEvery)
	}
}

// countFor counts a step among the faults of its kind while it lasts.
func countFor(ctx context.Context, step Step, underWay *atomic.Int32) {
	underWay.Add(1)
	wait(ctx, step.For)
	underWay.Add(-1)
}

// deadlyEvery is the time between two attempts of callers for what ends backend servers.
const deadlyEvery = 100 * time.Millisecond

// askDeadly asks at all nodes in turn for one of two paths that end backend servers.
func (s *soak) askDeadly(ctx context.Context, step Step) {
	until := time.Now().Add(step.For)
	for i := step.Node; time.Now().Before(until) && ctx.Err() == nil; i++ {
		n := s.site.nodes[i%len(s.site.nodes)]
		s.callers.ask(n.caller(true), n, deadlyPath(step.Node%2))
		wait(ctx, deadlyEvery)
	}
}

// strike stops or freezes a node's process, one at a time.
func (s *soak) strike(ctx context.Context, n *node, step Step) {
	n.busy.Lock()
	defer n.busy.Unlock()
	p, _ := n.running()
	switch step.Fault {
	case FaultFreeze:
		s.signalNode(n, syscall.SIGSTOP)
		wait(ctx, step.For)
		s.signalNode(n, syscall.SIGCONT)
		return
	case FaultTerm:
		s.terminate(n, graceTime+stopMargin)
	case FaultSignals:
		s.signals(ctx, n)
		return
	case FaultKill:
		p.Kill()
		wait(ctx, step.For)
	}
	s.startAgain(n)
	wait(ctx, settled)
}

// startAgain starts a node's process anew.
func (s *soak) startAgain(n *node) {
	n.set.FirstStart = false
	if err := n.write(); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
	if err := s.site.start(n); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
}

// hup changes the node's settings file and sends SIGHUP.
func (s *soak) hup(n *node) {
	n.busy.Lock()
	defer n.busy.Unlock()
	s.reload(n)
}

// reload is hup; n.busy is held.
func (s *soak) reload(n *node) {
	n.set.Retry.Slack++
	if err := n.write(); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
	s.signalNode(n, syscall.SIGHUP)
}

func (s *soak) delay(n *node, d time.Duration) {
	for _, r := range n.relays {
		r.SetDelay(d)
	}
}

// drain lets a backend server say that it leaves, serve on for its time, say
// goodbye and end; another one comes.
func (s *soak) drain(ctx context.Context, n *node) {
	old, acked := n.host.drain()
	if old == nil {
		return
	}
	select {
	case <-acked:
		s.noteDrain(startOf(old.ID, old.Born), time.Now().Add(drainTime))
	case <-time.After(ackTime):
	}
	wait(ctx, drainTime+drainMargin)
	if !n.host.is(old) {
		return // it has crashed meanwhile
	}
	_ = old.Leave(n.addr(portBackend)) // a node that is away misses it
	if err := n.host.replace(int(time.Now().UnixMilli() % 1000)); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
	// What is sent to the one that has left shows that the drain was not kept.
	wait(ctx, drainMargin)
	_ = old.http.Close() // its requests have ended, or break the promise
}

func (s *soak) noteDrain(start string, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained[start] = end
}

// crash ends a backend server without a word; next starts one later.
func (s *soak) crash(ctx context.Context, n *node, down time.Duration, next func() error) {
	n.host.crash()
	wait(ctx, down)
	if err := next(); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
}
