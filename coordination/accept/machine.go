package accept

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Machine is the state machine that accepts or rejects one change. It returns one
// action at a time and waits for the event that reports its result. It is not safe
// for concurrent use.
type Machine struct {
	cfg    Config
	change Change
	sum    Sum
	random *rand.Rand

	deadline  time.Time
	retryAt   time.Time
	retries   int
	conflicts int
	lastErr   error
	finished  bool

	head         Head
	headRevision uint64
	base         *snapshot.Snapshot // newest version known to be accepted and held
	candidate    *candidate

	// inDoubt is set while a transaction with an unknown outcome may still take
	// effect; inDoubtRevision is the head revision that its condition requires.
	// If there are several, all require the same revision: a transaction on
	// another revision is sent only once the head is known to have moved.
	inDoubt         bool
	inDoubtRevision uint64
	// headSeen is set once the head has been read.
	headSeen bool
	// transactionSent is set once a transaction that creates the record was
	// returned as an action.
	transactionSent bool
	// fencing is set while the pending transaction is a fence, which writes the
	// head unchanged.
	fencing bool
}

// New returns the machine of one change. held is the newest accepted version that
// the caller holds, which saves loading it; snapshot.Empty() when there is none.
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

// Step handles an event and returns the next action. The events are Start, Cancel,
// core.Tick after a Wait, and the result of each action. It returns nothing after
// Finish, for a Tick before the time of the Wait, and for an unknown event.
func (m *Machine) Step(now time.Time, ev core.Event) []core.Action {
	if m.finished {
		return nil
	}
	a := m.next(now, ev)
	if a == nil {
		return nil
	}
	if _, finished := a.(Finish); finished {
		m.finished = true
	}
	return []core.Action{a}
}

// next returns the action that follows an event; nil for none.
func (m *Machine) next(now time.Time, ev core.Event) core.Action {
	switch e := ev.(type) {
	case Start:
		return m.start(now)
	case Cancel:
		return m.abandon(e.Err)
	case core.Tick:
		if now.Before(m.retryAt) {
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

// start checks the change on its own and begins to read the platform's state.
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

// headRead records the head and continues with the change's record.
func (m *Machine) headRead(now time.Time, e HeadRead) core.Action {
	if e.Result != Done {
		return m.retry(now, e.Err)
	}
	held := m.base.Ref()
	if e.Head.Ref != held && !e.Head.Ref.Newer(held) {
		return m.abandon(&RevertedError{Held: held, Head: e.Head.Ref})
	}
	if m.change.Resend && !m.headSeen {
		// A transaction in doubt from the earlier send requires this revision,
		// or an earlier one that the head has left already.
		m.inDoubt = true
		m.inDoubtRevision = e.Revision
	}
	m.headSeen = true
	m.head = e.Head
	m.headRevision = e.Revision
	return ReadRecord{ChangeID: m.change.ID}
}

// recordRead decides, from the head and the record, whether the change is already
// accepted, is abandoned, or is to be prepared or written next.
func (m *Machine) recordRead(now time.Time, e RecordRead) core.Action {
	if e.Result != Done {
		return m.retry(now, e.Err)
	}
	if e.Record != nil {
		return m.finishRecorded(e.Record)
	}
	if m.inDoubt && m.headRevision != m.inDoubtRevision {
		// The transaction in doubt requires a revision that the head will
		// never have again, and there is no record, so the transaction has had
		// no effect and never will.
		m.inDoubt = false
	}
	if !now.Before(m.deadline) {
		return m.abandon(&TimeoutError{After: m.cfg.Deadline, Err: m.lastErr})
	}
	if m.conflicts >= m.cfg.MaxConflicts {
		return m.abandon(&ContentionError{Conflicts: m.conflicts})
	}
	if m.candidate != nil && m.candidate.headRevision == m.headRevision {
		return m.nextWrite()
	}
	if m.base.Ref() != m.head.Ref {
		return LoadBase{Held: m.base, Head: m.head}
	}
	return m.propose(now)
}

// finishRecorded ends a change whose id has a record, which decides the outcome.
func (m *Machine) finishRecorded(r *Record) core.Action {
	if r.Sum != m.sum {
		// A record with other content also rules out any transaction in doubt,
		// which requires that the record does not exist.
		return Finish{Err: &ChangeIDError{ID: m.change.ID, Version: r.Entry.Ref.Version}}
	}
	return Finish{Accepted: Accepted{Ref: r.Entry.Ref, Repeated: !m.transactionSent}}
}

// baseLoaded records the head's version and prepares the next one.
func (m *Machine) baseLoaded(now time.Time, e BaseLoaded) core.Action {
	if e.Err != nil {
		return m.retry(now, e.Err)
	}
	m.base = e.Snapshot
	return m.propose(now)
}

// propose prepares the version that follows m.base, the head's version, and begins
// to write it. While a transaction is in doubt, a change that is to be rejected is
// fenced first.
func (m *Machine) propose(now time.Time) core.Action {
	c, err := m.prepare(now)
	if err != nil && m.inDoubt {
		return m.fence()
	}
	if err != nil {
		return Finish{Err: err}
	}
	m.candidate = c
	return m.nextWrite()
}

// fence writes the head again unchanged. The new revision rules out every
// transaction in doubt; the change is then evaluated again. Only transactions of an
// earlier send need it: for the machine's own ones, the candidate is sent again
// while the head has not moved.
func (m *Machine) fence() core.Action {
	head, err := encode(&m.head)
	if err != nil {
		return m.abandon(err)
	}
	m.fencing = true
	return WriteHead{HeadRevision: m.headRevision, Head: head}
}

// nextWrite returns the candidate's next write: first its objects, then the
// transaction.
func (m *Machine) nextWrite() core.Action {
	c := m.candidate
	switch {
	case !c.fullStored:
		return PutObject{Key: FullKey(c.entry.Ref), Body: c.full}
	case !c.deltaStored:
		return PutObject{Key: DeltaKey(c.entry.Ref), Body: c.delta}
	}
	m.transactionSent = true
	return WriteHead{
		HeadRevision: c.headRevision,
		Head:         c.head,
		RecordKey:    RecordKey(m.change.ID),
		Record:       c.record,
	}
}

// objectPut records that an object is stored, or retries.
func (m *Machine) objectPut(now time.Time, e ObjectPut) core.Action {
	if e.Result != Done {
		// A retry is safe: storing the same object again is idempotent.
		return m.retry(now, e.Err)
	}
	if c := m.candidate; c.fullStored {
		c.deltaStored = true
	} else {
		c.fullStored = true
	}
	return m.nextWrite()
}

// headWritten ends an accepted change; in all other cases the state is read again.
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
		m.inDoubtRevision = m.candidate.headRevision
	case ConditionFailed:
		m.conflicts++
	}
	return m.reread(now, e.Err)
}

// reread reads the head and the record again to determine whether a transaction
// took effect. Before the deadline it does so after a delay; after the deadline at
// once, and for the last time.
func (m *Machine) reread(now time.Time, err error) core.Action {
	if !now.Before(m.deadline) {
		m.lastErr = err
		return ReadHead{}
	}
	return m.retry(now, err)
}

// retry reads the state again after a random delay with exponential backoff, or
// abandons the change after the deadline.
func (m *Machine) retry(now time.Time, err error) core.Action {
	m.lastErr = err
	if !now.Before(m.deadline) {
		return m.abandon(&TimeoutError{After: m.cfg.Deadline, Err: err})
	}
	limit := min(m.cfg.RetryMax, m.cfg.RetryMin<<min(m.retries, maxDoublings))
	m.retries++
	m.retryAt = now.Add(time.Duration(m.random.Int64N(int64(limit))) + 1)
	return Wait{Until: m.retryAt}
}

// maxDoublings bounds the exponent of the backoff.
const maxDoublings = 10

// abandon ends a change that is not known to be accepted. While a transaction is in
// doubt the outcome is unknown; it is also unknown for a change that was sent before, since
// a failure of this send does not prove that the earlier one had no effect.
func (m *Machine) abandon(err error) core.Action {
	if m.inDoubt || m.change.Resend {
		return Finish{Err: &UnknownOutcomeError{ID: m.change.ID, Err: err}}
	}
	return Finish{Err: &RefusedError{Err: err}}
}
