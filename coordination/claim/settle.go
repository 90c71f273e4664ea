package claim

import "github.com/jacinthgate/jacinthgate/coordination/core"

// held handles the events of phaseHeld: the end of a request that may have
// been sent.
func (m *Machine) held(ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Answered:
		answer := e.Answer.Trim()
		m.record.State = StateDone
		m.record.Answer = &answer
	case NotRun:
		m.record.State = StateReleased
	case OutcomeLost:
		// The claim stays, so that no retry can run.
		m.phase = phaseEnded
		return nil
	default:
		return nil
	}
	m.phase = phaseFinishing
	return m.writeFinal()
}

// writeFinal writes the response or the release over the claim.
func (m *Machine) writeFinal() []core.Action {
	return actions(Write{Record: m.record, IfRevision: m.revision})
}

// finishing handles the events of phaseFinishing: it repeats the final write
// until it is certain that the write took effect. Repeating the write is safe,
// because only this attempt replaces the revision that it wrote itself.
func (m *Machine) finishing(ev core.Event) []core.Action {
	switch ev.(type) {
	case Written, Conflict:
		m.phase = phaseEnded
	case WriteUnknown, WriteFailed:
		return m.scheduleRetry()
	case Retry:
		return m.writeFinal()
	}
	return nil
}

// abandoning handles the events of phaseAbandoning: it releases a claim that
// was never used to send. If the item still has the revision that the claim
// write was conditional on, a released record is written there, so that a
// delayed claim write fails its condition and can't block the key.
func (m *Machine) abandoning(ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Written:
		if m.releasing {
			m.phase = phaseEnded
			return nil
		}
		return m.release(e.Revision)
	case Conflict:
		return m.releaseOwn(e.Current)
	case Loaded:
		if e.Current.Revision == m.base {
			return m.release(m.base)
		}
		return m.releaseOwn(e.Current)
	case WriteFailed:
		return m.writeFailed()
	case WriteUnknown, LoadFailed:
		m.unconfirmed = true
		return m.scheduleRetry()
	case Retry:
		return actions(Read{})
	}
	return nil
}

// writeFailed handles WriteFailed in phaseAbandoning. It ends the machine if
// no claim write can have taken effect; otherwise it schedules a retry.
func (m *Machine) writeFailed() []core.Action {
	if m.unconfirmed || m.releasing {
		return m.scheduleRetry()
	}
	m.phase = phaseEnded
	return nil
}

// releaseOwn releases the item's claim if this attempt holds it, and ends the
// machine otherwise.
func (m *Machine) releaseOwn(it Item) []core.Action {
	own := it.Revision != 0 && !it.Corrupt && it.Record.Attempt == m.record.Attempt
	if own && it.Record.State == StateClaimed {
		return m.release(it.Revision)
	}
	m.phase = phaseEnded
	return nil
}

// release writes a released record over the given revision of the item.
func (m *Machine) release(revision uint64) []core.Action {
	m.releasing = true
	m.record.State = StateReleased
	return actions(Write{Record: m.record, IfRevision: revision})
}

// scheduleRetry returns a RetryLater with exponential backoff. Step ends the
// retries once SettleFor is over.
func (m *Machine) scheduleRetry() []core.Action {
	after := m.backoff
	m.backoff = min(2*m.backoff, m.cfg.SettleRetryMax)
	return actions(RetryLater{After: after})
}
