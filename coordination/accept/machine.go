package accept

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Machine accepts one change. It has one action under way at a time. It is not
// safe for concurrent use.
type Machine struct {
	cfg    Config
	change Change
	sum    Sum
	random *rand.Rand

	deadline  time.Time
	wake      time.Time
	tries     int
	conflicts int
	lastErr   error
	finished  bool

	head         Head
	headRevision uint64
	base         *snapshot.Snapshot // the newest version known to be accepted
	candidate    *candidate

	// doubtRevision is the head revision on which a transaction with unknown
	// outcome depends; inDoubt says that there is one. All transactions of
	// unknown outcome depend on the same revision: a later one is sent only
	// once the head is known to have moved.
	inDoubt       bool
	doubtRevision uint64
	// seen says that the head was read at least once.
	seen bool
	// sent says that a transaction was sent at all.
	sent bool
	// fencing says that the transaction under way rewrites the head unchanged.
	fencing bool
}

// New returns the machine of one change. held is the newest version held, which
// saves loading it; snapshot.Empty() when there is none.
func New(cfg Config, change Change, held *snapshot.Snapshot) *Machine {
	return &Machine{
		cfg:    cfg,
		change: change,
		base:   held,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// Newest returns the newest version that is known to be accepted and held.
func (m *Machine) Newest() *snapshot.Snapshot { return m.base }

// Step takes an event and returns the next action: the events are Start,
// Cancel, core.Tick after a Wait, and the answer to each action. It returns
// nothing after Finish and for a Tick that is early.
func (m *Machine) Step(now time.Time, ev core.Event) []core.Action {
	if m.finished {
		return nil
	}
	a := m.next(now, ev)
	if a == nil {
		return nil
	}
	if _, end := a.(Finish); end {
		m.finished = true
	}
	return []core.Action{a}
}

func (m *Machine) next(now time.Time, ev core.Event) core.Action {
	switch e := ev.(type) {
	case Start:
		return m.start(now)
	case Cancel:
		return m.giveUp(e.Err)
	case core.Tick:
		if now.Before(m.wake) {
			return nil
		}
		return ReadHead{}
	case HeadRead:
		return m.headRead(now, e)
	case RecordRead:
		return m.recordRead(now, e)
	case BaseLoaded:
		return m.baseLoaded(now, e)
	case ObjectPut:
		return m.objectPut(now, e)
	case HeadWritten:
		return m.headWritten(now, e)
	default:
		return nil
	}
}

func (m *Machine) start(now time.Time) core.Action {
	m.deadline = now.Add(m.cfg.Deadline)
	if err := m.change.check(m.cfg.Validate); err != nil {
		return Finish{Err: err}
	}
	sum, err := m.change.sum()
	if err != nil {
		return Finish{Err: &InvalidError{Err: err}}
	}
	m.sum = sum
	return ReadHead{}
}

func (m *Machine) headRead(now time.Time, e HeadRead) core.Action {
	if e.Result != Done {
		return m.retry(now, e.Err)
	}
	held := m.base.Ref()
	if e.Head.Ref != held && !e.Head.Ref.Newer(held) {
		return m.giveUp(&RevertedError{Held: held, Head: e.Head.Ref})
	}
	if m.change.Resend && !m.seen {
		// A transaction of the earlier send depends on this revision or on
		// one that the head has left already.
		m.inDoubt = true
		m.doubtRevision = e.Revision
	}
	m.seen = true
	m.head = e.Head
	m.headRevision = e.Revision
	return ReadRecord{ChangeID: m.change.ID}
}

func (m *Machine) recordRead(now time.Time, e RecordRead) core.Action {
	if e.Result != Done {
		return m.retry(now, e.Err)
	}
	if e.Record != nil {
		return m.settled(e.Record)
	}
	if m.inDoubt && m.headRevision != m.doubtRevision {
		// The transaction in doubt requires a revision that the head has left
		// for ever, and there is no record: it had no effect and never will.
		m.inDoubt = false
	}
	if !now.Before(m.deadline) {
		return m.giveUp(&TimeoutError{After: m.cfg.Deadline, Err: m.lastErr})
	}
	if m.conflicts >= m.cfg.MaxConflicts {
		return m.giveUp(&ContentionError{Conflicts: m.conflicts})
	}
	if m.candidate != nil && m.candidate.headRevision == m.headRevision {
		return m.store()
	}
	if m.base.Ref() != m.head.Ref {
		return LoadBase{Held: m.base, Head: m.head}
	}
	return m.propose(now)
}

// settled ends a change whose id has a record.
func (m *Machine) settled(r *Record) core.Action {
	if r.Sum != m.sum {
		// A record with other content also rules out any transaction in
		// doubt, which requires that there is none.
		return Finish{Err: &ChangeIDError{ID: m.change.ID, Version: r.Entry.Ref.Version}}
	}
	return Finish{Accepted: Accepted{Ref: r.Entry.Ref, Repeated: !m.sent}}
}

func (m *Machine) baseLoaded(now time.Time, e BaseLoaded) core.Action {
	if e.Err != nil {
		return m.retry(now, e.Err)
	}
	m.base = e.Snapshot
	return m.propose(now)
}

// propose builds the next version on m.base, which is the head's.
func (m *Machine) propose(now time.Time) core.Action {
	c, err := m.prepare(now)
	if err != nil && m.inDoubt {
		return m.fence()
	}
	if err != nil {
		return Finish{Err: err}
	}
	m.candidate = c
	return m.store()
}

// fence writes the head again unchanged. Its new revision ends every transaction
// in doubt; the change is then weighed again. The machine's own transactions
// never need it: while the head has not moved, its candidate is sent again.
func (m *Machine) fence() core.Action {
	head, err := encode(&m.head)
	if err != nil {
		return m.giveUp(err)
	}
	m.fencing = true
	return WriteHead{HeadRevision: m.headRevision, Head: head}
}

// store returns the candidate's next step: its objects first, then the head.
func (m *Machine) store() core.Action {
	c := m.candidate
	switch {
	case !c.fullStored:
		return PutObject{Key: FullKey(c.entry.Ref), Body: c.full}
	case !c.deltaStored:
		return PutObject{Key: DeltaKey(c.entry.Ref), Body: c.delta}
	}
	m.sent = true
	return WriteHead{
		HeadRevision: c.headRevision,
		Head:         c.head,
		RecordKey:    RecordKey(m.change.ID),
		Record:       c.record,
	}
}

func (m *Machine) objectPut(now time.Time, e ObjectPut) core.Action {
	if e.Result != Done {
		// Storing the same object again is harmless.
		return m.retry(now, e.Err)
	}
	if c := m.candidate; c.fullStored {
		c.deltaStored = true
	} else {
		c.fullStored = true
	}
	return m.store()
}

func (m *Machine) headWritten(now time.Time, e HeadWritten) core.Action {
	if m.fencing {
		m.fencing = false
		return m.reread(now, e.Err)
	}
	switch e.Result {
	case Done:
		m.base = m.candidate.snapshot
		return Finish{Accepted: Accepted{Ref: m.candidate.entry.Ref}}
	case Failed:
		return m.retry(now, e.Err)
	case Unknown:
		m.inDoubt = true
		m.doubtRevision = m.candidate.headRevision
	case ConditionFailed:
		m.conflicts++
	}
	return m.reread(now, e.Err)
}

// reread reads the state again, once even past the deadline, to settle what a
// transaction has done.
func (m *Machine) reread(now time.Time, err error) core.Action {
	if !now.Before(m.deadline) {
		m.lastErr = err
		return ReadHead{}
	}
	return m.retry(now, err)
}

// retry waits before the state is read again, or gives up past the deadline.
func (m *Machine) retry(now time.Time, err error) core.Action {
	m.lastErr = err
	if !now.Before(m.deadline) {
		return m.giveUp(&TimeoutError{After: m.cfg.Deadline, Err: err})
	}
	limit := min(m.cfg.RetryMax, m.cfg.RetryMin<<min(m.tries, maxDoublings))
	m.tries++
	m.wake = now.Add(time.Duration(m.random.Int64N(int64(limit))) + 1)
	return Wait{Until: m.wake}
}

// maxDoublings bounds the doubling of the wait.
const maxDoublings = 10

// giveUp ends the change without it being known to be accepted. Of a change that
// was sent before, no failure of this send can say that it was not taken.
func (m *Machine) giveUp(err error) core.Action {
	if m.inDoubt || m.change.Resend {
		return Finish{Err: &UnknownOutcomeError{ID: m.change.ID, Err: err}}
	}
	return Finish{Err: &RefusedError{Err: err}}
}
