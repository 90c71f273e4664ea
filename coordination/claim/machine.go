package claim

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// phase is what a Machine is doing.
type phase uint8

const (
	phaseNew        phase = iota
	phaseClaiming         // a claim is being written or read; the caller waits
	phaseHeld             // the request holds its key
	phaseFinishing        // the answer or the release is being written
	phaseAbandoning       // a claim that may exist is being released
	phaseEnded
)

// Machine is the state machine of one request with an Idempotency-Key. At
// most one Write or Read is outstanding at any time.
type Machine struct {
	cfg    Config
	record Record
	phase  phase
	// base is the revision that the last claim write was conditional on.
	base uint64
	// revision is that of the record held.
	revision uint64
	// writes counts the claim writes.
	writes int
	// doubt is set once a claim write may have taken effect unseen.
	doubt bool
	// releasing is set while the outstanding write is a release.
	releasing bool
	// wait is the next wait between tries.
	wait time.Duration
}

// New returns the machine of one request. The record names the attempt, the
// owner and the fingerprint; State and Started are set by the machine.
func New(cfg Config, record Record) *Machine {
	return &Machine{cfg: cfg, record: record, wait: cfg.SettleRetry}
}

// Ended reports that the machine wants no more events.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Step takes one event and returns what to do. Events that don't fit the
// machine's phase are ignored, except that Dispatch is always answered.
func (m *Machine) Step(now time.Time, ev core.Event) []core.Action {
	switch ev.(type) {
	case Dispatch:
		return m.dispatch(now)
	case Cancelled:
		return m.cancelled()
	}
	if m.stale(now) {
		return m.expire()
	}
	switch m.phase {
	case phaseNew:
		return m.start(now, ev)
	case phaseClaiming:
		return m.claiming(now, ev)
	case phaseHeld:
		return m.held(ev)
	case phaseFinishing:
		return m.finishing(ev)
	case phaseAbandoning:
		return m.abandoning(ev)
	}
	return nil
}

// stale reports that the node was paused for so long, or that background work
// has taken so long, that the record may soon be collected. From then on the
// machine must not write: its revision could be that of a later record.
func (m *Machine) stale(now time.Time) bool {
	running := m.phase != phaseNew && m.phase != phaseEnded
	return running && m.record.Expired(now, m.cfg.SettleFor)
}

// expire ends a stale machine. The key stays as it is.
func (m *Machine) expire() []core.Action {
	waiting := m.phase == phaseClaiming
	m.phase = phaseEnded
	if waiting {
		return actions(m.platformAway(), GiveUp{})
	}
	return actions(GiveUp{})
}

func (m *Machine) start(now time.Time, ev core.Event) []core.Action {
	if _, ok := ev.(Start); !ok {
		return nil
	}
	m.phase = phaseClaiming
	m.record.State = StateClaimed
	m.record.Started = now.UnixMilli()
	return m.writeClaim(0)
}

// writeClaim writes the claim over an item that holds nobody's claim.
func (m *Machine) writeClaim(base uint64) []core.Action {
	if m.writes >= m.cfg.MaxWrites {
		return m.refuse(m.platformAway())
	}
	m.writes++
	m.base = base
	return actions(Write{Record: m.record, IfRevision: base})
}

func (m *Machine) claiming(now time.Time, ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Written:
		return m.hold(e.Revision)
	case Conflict:
		return m.judge(now, e.Current)
	case WriteUnknown:
		m.doubt = true
		return actions(Read{})
	case Loaded:
		return m.judge(now, e.Current)
	case WriteFailed, LoadFailed:
		return m.refuse(m.platformAway())
	}
	return nil
}

// judge decides by the item that stands in the table.
func (m *Machine) judge(now time.Time, it Item) []core.Action {
	if it.Revision == 0 {
		return m.writeClaim(0)
	}
	r := it.Record
	switch {
	case it.Corrupt:
		return m.end(Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonOutcomeLost})
	case r.Attempt == m.record.Attempt:
		return m.hold(it.Revision)
	case r.State == StateReleased:
		return m.writeClaim(it.Revision)
	case !r.Fingerprint.Same(m.record.Fingerprint):
		return m.end(Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonKeyReused})
	case r.State == StateDone:
		return m.end(replay(r))
	}
	return m.end(m.running(now, r))
}

// running answers a repeat whose first request has no known outcome.
func (m *Machine) running(now time.Time, r Record) Refuse {
	if r.Expired(now, m.cfg.RunLimit) {
		return Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonOutcomeLost}
	}
	return Refuse{
		Outcome:    outcome.Unknown,
		Reason:     outcome.ReasonInProgress,
		RetryAfter: m.cfg.InProgressRetry,
	}
}

// replay answers a repeat whose first request was answered.
func replay(r Record) core.Action {
	if r.Answer == nil || r.Answer.NotKept {
		return Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerNotKept}
	}
	return Replay{Answer: *r.Answer}
}

func (m *Machine) hold(revision uint64) []core.Action {
	m.phase = phaseHeld
	m.revision = revision
	return actions(Proceed{})
}

func (m *Machine) platformAway() Refuse {
	return Refuse{
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonPlatform,
		RetryAfter: m.cfg.PlatformRetry,
	}
}

// refuse answers the caller and releases a claim that may exist unseen.
func (m *Machine) refuse(r Refuse) []core.Action {
	if !m.doubt {
		return m.end(r)
	}
	m.phase = phaseAbandoning
	return append(actions(r), m.later()...)
}

func (m *Machine) end(last core.Action) []core.Action {
	m.phase = phaseEnded
	return actions(last)
}

// cancelled answers a caller that can't wait for its claim any longer.
func (m *Machine) cancelled() []core.Action {
	if m.phase != phaseClaiming {
		return nil
	}
	m.phase = phaseAbandoning
	return actions(Refuse{
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonDeadline,
		RetryAfter: m.cfg.InProgressRetry,
	})
}

// dispatch gives leave to send while the claim is held and young.
func (m *Machine) dispatch(now time.Time) []core.Action {
	if m.phase == phaseHeld && !m.record.Expired(now, m.cfg.DispatchWithin) {
		return actions(Send{})
	}
	return actions(Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline})
}

func actions(a ...core.Action) []core.Action { return a }
