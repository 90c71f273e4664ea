package lease

import "time"

// begin records an operation as in progress and returns its ID.
func (c *Core) begin(now time.Time, op operation) uint64 {
	c.lastID++
	op.id = c.lastID
	op.sentAt = now
	op.deadline = now.Add(c.cfg.AnswerTimeout)
	c.pending = op
	return op.id
}

func (c *Core) read(now time.Time) {
	c.out = append(c.out, ReadItem{ID: c.begin(now, operation{})})
}

// write acquires the lease with a new term, or renews it with the same term.
func (c *Core) write(now time.Time, term uint64) {
	c.term = term
	item := Item{Holder: c.self.Node, Incarnation: c.self.Incarnation, Term: term, Address: c.self.PeerAddr}
	id := c.begin(now, operation{write: true, item: item})
	c.out = append(c.out, WriteItem{ID: id, Item: item, IfRevision: c.revision})
}

// release gives up the lease, so that the next candidate doesn't have to wait. A
// renewal still in progress has the same condition, so only one of the two writes
// takes effect.
func (c *Core) release(now time.Time) {
	if !c.known {
		return
	}
	item := Item{Term: c.term}
	id := c.begin(now, operation{write: true, release: true, item: item})
	c.out = append(c.out, WriteItem{ID: id, Item: item, IfRevision: c.revision})
	c.known = false
}

// giveUp gives up an operation that has timed out. A write may have taken
// effect, so it is followed by a read at once; a read is retried after
// RetryInterval.
func (c *Core) giveUp(now time.Time) {
	op := c.pending
	c.pending = operation{}
	c.nextAt = now
	if op.write && !op.release {
		c.recordUnknown(op.sentAt)
	}
	if !op.write {
		c.nextAt = now.Add(c.jitter(c.cfg.RetryInterval))
	}
}

// recordUnknown records a write with unknown result, which may also take effect
// later. Of several with the same condition the oldest counts, as any of them
// may be the one that takes effect.
func (c *Core) recordUnknown(sentAt time.Time) {
	c.readFirst = true
	if c.unknownSince.IsZero() || sentAt.Before(c.unknownSince) {
		c.unknownSince = sentAt
	}
}

// itemRead handles the response to a read.
func (c *Core) itemRead(now time.Time, e ItemRead) {
	if e.ID != c.pending.id || c.pending.write {
		return
	}
	c.pending = operation{}
	if e.Err != nil {
		c.nextAt = now.Add(c.jitter(c.cfg.RetryInterval))
		return
	}
	c.readFirst = false
	unknownSince := c.unknownSince
	changed := e.Revision != c.revision
	c.observe(now, e.Item, e.Revision)
	if !c.writtenBySelf() {
		c.heldUntil = time.Time{}
		c.nextAt = now.Add(c.jitter(c.cfg.WatchInterval))
		c.scheduleTakeover(now)
		return
	}
	c.nextAt = now
	if changed && !unknownSince.IsZero() {
		c.extend(unknownSince) // a write with unknown result took effect
	}
}

// observe records the item, and when its revision was first seen.
func (c *Core) observe(now time.Time, item Item, revision uint64) {
	if !c.known || revision != c.revision {
		c.revisionSince = now
	}
	if revision != c.revision {
		c.unknownSince = time.Time{} // writes conditional on the old one can't take effect now
	}
	c.known = true
	c.item = item
	c.revision = revision
}

// scheduleTakeover moves the next operation forward to the time from which the
// lease may be taken over.
func (c *Core) scheduleTakeover(now time.Time) {
	if c.mayTakeOver(now) {
		c.nextAt = now
		return
	}
	at := c.revisionSince.Add(c.cfg.Duration + c.cfg.Margin)
	if at.Before(c.nextAt) {
		c.nextAt = at
	}
}

// extend extends the lease to Duration after its write was sent.
func (c *Core) extend(sentAt time.Time) {
	if until := sentAt.Add(c.cfg.Duration); until.After(c.heldUntil) {
		c.heldUntil = until
	}
}

// written handles the response to a write.
func (c *Core) written(now time.Time, e Written) {
	if e.ID != c.pending.id || !c.pending.write {
		return // timed out earlier, so a read determines the result
	}
	op := c.pending
	c.pending = operation{}
	if op.release {
		c.nextAt = now
		return
	}
	switch e.Result {
	case WriteDone:
		c.observe(now, op.item, e.Revision)
		c.extend(op.sentAt)
		c.nextAt = op.sentAt.Add(c.cfg.RenewInterval)
	case WriteFailed:
		c.nextAt = now.Add(c.jitter(c.cfg.RetryInterval))
	case WriteUnknown:
		c.recordUnknown(op.sentAt)
		c.nextAt = now
	case WriteRefused:
		c.known = false // the item has changed: read it again
		c.nextAt = now
	}
}
