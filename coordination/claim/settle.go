package claim

import "github.com/jacinthgate/jacinthgate/coordination/core"

// held takes the end of a request that may have been sent.
func (m *Machine) held(ev core.Event) []core.Action {
	switch e := ev.(type) {
	case Answered:
		answer := e.Answer.Trim()
		m.record.State = StateDone
		m.record.Answer = &answer
	case NotRun:
		m.record.State = StateReleased
	case Lost:
		// The claim stays: no repeat may run.
		m.phase = phaseEnded
		return nil
	default:
		return nil
	}
	m.phase = phaseFinishing
	return m.writeFinal()
}

func (m *Machine) writeFinal() []core.Action {
	return actions(Write{Record: m.record, IfRevision: m.revision})
}

// finishing repeats the last write until its effect is certain. A repeat is
// harmless: only this attempt writes over its own revision.
func (m *Machine) finishing(ev core.Event) []core.Action {
	switch ev.(type) {
	case Written, Conflict:
		m.phase = phaseEnded
	case WriteUnknown, WriteFailed:
		return m.later()
	case Retry:
		return m.writeFinal()
	}
	return nil
}

// abandoning releases a claim that was never used. Where the claim's write
// has not been seen, a released record takes its place, so that the write
// can't take effect late and block the key.
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
		return m.unwritten()
	case WriteUnknown, LoadFailed:
		m.doubt = true
		return m.later()
	case Retry:
		return actions(Read{})
	}
	return nil
}

// unwritten ends a cancelled request whose claim certainly was not written.
func (m *Machine) unwritten() []core.Action {
	if m.doubt || m.releasing {
		return m.later()
	}
	m.phase = phaseEnded
	return nil
}

func (m *Machine) releaseOwn(it Item) []core.Action {
	own := it.Revision != 0 && !it.Corrupt && it.Record.Attempt == m.record.Attempt
	if own && it.Record.State == StateClaimed {
		return m.release(it.Revision)
	}
	m.phase = phaseEnded
	return nil
}

func (m *Machine) release(revision uint64) []core.Action {
	m.releasing = true
	m.record.State = StateReleased
	return actions(Write{Record: m.record, IfRevision: revision})
}

// later asks for another try; Step ends the tries after SettleFor.
func (m *Machine) later() []core.Action {
	wait := m.wait
	m.wait = min(2*m.wait, m.cfg.SettleRetryMax)
	return actions(RetryLater{After: wait})
}
