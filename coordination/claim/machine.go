package claim

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"

	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// phase is the state of a Machine.
type phase uint8

const (
	phaseNew        phase = iota
	phaseClaiming         // a claim is being written or read; the caller waits
	phaseHeld             // the request holds the claim on its key
	phaseFinishing        // the response or the release is being written
	phaseAbandoning       // the caller was refused; a claim that may exist is being released
	phaseEnded
)

// Machine is the state machine of one request with an Idempotency-Key: it
// acquires the claim on the key, permits sends, and records the response or
// releases the claim. At most one Write or Read is outstanding at any time.
type Machine struct {
	cfg    Config
	record Record
	phase  phase
	// base is the revision that the last claim write was conditional on.
	base uint64
	// revision is the item's revision once the claim is held.
	revision uint64
	// writes counts the claim writes.
	writes int
	// unconfirmed is set once a claim write has ended with WriteUnknown, so
	// that the claim may exist.
	unconfirmed bool
	// releasing is set from the first write of a release on.
	releasing bool
	// backoff is the next delay before a retry of background work.
	backoff time.Duration
}

// New returns the machine of one request. The record names the attempt, the
// owner and the fingerprint; the machine sets State and Started.
func New(cfg Config, record Record) *Machine {
	return &Machine{cfg: cfg, record: record, backoff: cfg.SettleRetryMin}
}

// Ended reports whether the machine has finished and needs no more events.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Step handles one event and returns the actions for the driver. It ignores
// events that don't belong to the machine's phase; only Dispatch always
// returns Send or Refuse.
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

// stale reports whether the claim is older than SettleFor, because the node
// was paused or the background work took too long. The record may then soon be
// deleted, so the machine must no longer write: the revision that it expects
// could belong to a later record.
func (m *Machine) stale(now time.Time) bool {
	active := m.phase != phaseNew && m.phase != phaseEnded
	return active && m.record.Expired(now, m.cfg.SettleFor)
}

// expire ends a stale machine and leaves the record as it is. It refuses a
// caller that still waits.
func (m *Machine) expire() []core.Action {
	callerWaits := m.phase == phaseClaiming
	m.phase = phaseEnded
	if callerWaits {
		return actions(m.platformUnavailable(), GiveUp{})
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

// writeClaim writes the claim on condition that the item's revision is base.
// The item at base doesn't exist or holds a released record. After MaxWrites
// writes, writeClaim refuses the caller instead.
func (m *Machine) writeClaim(base uint64) []core.Action {
	if m.writes >= m.cfg.MaxWrites {
		return m.refuse(m.platformUnavailable())
	}
	m.writes++
	m.base = base
	return actions(Write{Record: m.record, IfRevision: base})
}

// claiming handles the events of phaseClaiming.
func (m *Machine) claiming(now time.Time, ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Written:
		return m.acquired(e.Revision)
	case Conflict:
		return m.evaluate(now, e.Current)
	case WriteUnknown:
		m.unconfirmed = true
		return actions(Read{})
	case Loaded:
		return m.evaluate(now, e.Current)
	case WriteFailed, LoadFailed:
		return m.refuse(m.platformUnavailable())
	}
	return nil
}

// evaluate decides from the current item whether the request holds the claim,
// writes its claim again, gets a replayed response or is refused.
func (m *Machine) evaluate(now time.Time, it Item) []core.Action {
	if it.Revision == 0 {
		return m.writeClaim(0)
	}
	r := it.Record
	switch {
	case it.Corrupt:
		return m.end(Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonOutcomeLost})
	case r.Attempt == m.record.Attempt:
		return m.acquired(it.Revision)
	case r.State == StateReleased:
		return m.writeClaim(it.Revision)
	case !r.Fingerprint.Same(m.record.Fingerprint):
		return m.end(Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonKeyReused})
	case r.State == StateDone:
		return m.end(replay(r))
	}
	return m.end(m.refuseUnanswered(now, r))
}

// refuseUnanswered returns the refusal of a retry while the record holds no
// response to the first request: that request is in progress, or, after
// RunLimit, its outcome is lost.
func (m *Machine) refuseUnanswered(now time.Time, r Record) Refuse {
	if r.Expired(now, m.cfg.RunLimit) {
		return Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonOutcomeLost}
	}
	return Refuse{
		Outcome:    outcome.Unknown,
		Reason:     outcome.ReasonInProgress,
		RetryAfter: m.cfg.InProgressRetryAfter,
	}
}

// replay returns the kept response to the first request, or a refusal if the
// response was not kept.
func replay(r Record) core.Action {
	if r.Answer == nil || r.Answer.NotKept {
		return Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerNotKept}
	}
	return Replay{Answer: *r.Answer}
}

// acquired records that the request holds the claim at the given revision.
func (m *Machine) acquired(revision uint64) []core.Action {
	m.phase = phaseHeld
	m.revision = revision
	return actions(Proceed{})
}

// platformUnavailable returns the refusal for an unavailable table service.
func (m *Machine) platformUnavailable() Refuse {
	return Refuse{
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonPlatform,
		RetryAfter: m.cfg.PlatformRetryAfter,
	}
}

// refuse refuses the caller. If an unconfirmed write may have created the
// claim, the machine goes on to release it.
func (m *Machine) refuse(r Refuse) []core.Action {
	if !m.unconfirmed {
		return m.end(r)
	}
	m.phase = phaseAbandoning
	return append(actions(r), m.scheduleRetry()...)
}

// end ends the machine with a last action.
func (m *Machine) end(last core.Action) []core.Action {
	m.phase = phaseEnded
	return actions(last)
}

// cancelled refuses a caller that can't wait for its claim any longer. The
// result of the outstanding Write or Read arrives in phaseAbandoning.
func (m *Machine) cancelled() []core.Action {
	if m.phase != phaseClaiming {
		return nil
	}
	m.phase = phaseAbandoning
	return actions(Refuse{
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonDeadline,
		RetryAfter: m.cfg.InProgressRetryAfter,
	})
}

// dispatch permits a send while the request holds the claim and the claim is
// not older than DispatchWithin.
func (m *Machine) dispatch(now time.Time) []core.Action {
	if m.phase == phaseHeld && !m.record.Expired(now, m.cfg.DispatchWithin) {
		return actions(Send{})
	}
	return actions(Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline})
}

func actions(a ...core.Action) []core.Action { return a }
