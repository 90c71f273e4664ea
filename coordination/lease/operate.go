package lease

import "time"

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

// write takes the lease, or renews it with the same term.
func (c *Core) write(now time.Time, term uint64) {
	c.term = term
	item := Item{Holder: c.self.Node, Incarnation: c.self.Incarnation, Term: term, Address: c.self.PeerAddr}
	id := c.begin(now, operation{write: true, item: item})
	c.out = append(c.out, WriteItem{ID: id, Item: item, IfRevision: c.revision})
}

// release gives the lease up, so that the next candidate need not wait. A
// renewal still under way has the same condition: only one takes effect.
func (c *Core) release(now time.Time) {
	if !c.known {
		return
	}
	item := Item{Term: c.term}
	id := c.begin(now, operation{write: true, release: true, item: item})
	c.out = append(c.out, WriteItem{ID: id, Item: item, IfRevision: c.revision})
	c.known = false
}

// lost settles an operation without an answer: a write by reading, as it may
// have taken effect.
func (c *Core) lost(now time.Time) {
	op := c.pending
	c.pending = operation{}
	c.nextAt = now
	if op.write && !op.release {
		c.doubt(op.sentAt)
	}
	if !op.write {
		c.nextAt = now.Add(c.around(c.cfg.RetryInterval))
	}
}

// doubt notes a write whose effect is not known: it may even come later. Of
// several with the same condition the oldest counts, as any of them may be the
// one that takes effect.
func (c *Core) doubt(sentAt time.Time) {
	c.settle = true
	if c.unproven.IsZero() || sentAt.Before(c.unproven) {
		c.unproven = sentAt
	}
}

func (c *Core) itemRead(now time.Time, e ItemRead) {
	if e.ID != c.pending.id || c.pending.write {
		return
	}
	c.pending = operation{}
	if e.Err != nil {
		c.nextAt = now.Add(c.around(c.cfg.RetryInterval))
		return
	}
	c.settle = false
	unproven := c.unproven
	changed := e.Revision != c.revision
	c.see(now, e.Item, e.Revision)
	if !c.mine() {
		c.until = time.Time{}
		c.nextAt = now.Add(c.around(c.cfg.WatchInterval))
		c.wakeToTake(now)
		return
	}
	c.nextAt = now
	if changed && !unproven.IsZero() {
		c.extend(unproven) // a lost write took effect
	}
}

// see notes the item's content, and when its revision was first seen.
func (c *Core) see(now time.Time, item Item, revision uint64) {
	if !c.known || revision != c.revision {
		c.since = now
	}
	if revision != c.revision {
		c.unproven = time.Time{} // their condition can't hold any more
	}
	c.known = true
	c.item = item
	c.revision = revision
}

// wakeToTake brings the next step forward to when the lease may be taken.
func (c *Core) wakeToTake(now time.Time) {
	if c.mayTake(now) {
		c.nextAt = now
		return
	}
	at := c.since.Add(c.cfg.Duration + c.cfg.Margin)
	if at.Before(c.nextAt) {
		c.nextAt = at
	}
}

// extend counts the lease from when its write was sent.
func (c *Core) extend(sentAt time.Time) {
	if until := sentAt.Add(c.cfg.Duration); until.After(c.until) {
		c.until = until
	}
}

func (c *Core) written(now time.Time, e Written) {
	if e.ID != c.pending.id || !c.pending.write {
		return // given up before; a read has settled it
	}
	op := c.pending
	c.pending = operation{}
	if op.release {
		c.nextAt = now
		return
	}
	switch e.Result {
	case WriteDone:
		c.see(now, op.item, e.Revision)
		c.extend(op.sentAt)
		c.nextAt = op.sentAt.Add(c.cfg.RenewInterval)
	case WriteFailed:
		c.nextAt = now.Add(c.around(c.cfg.RetryInterval))
	case WriteUnknown:
		c.doubt(op.sentAt)
		c.nextAt = now
	case WriteRefused:
		c.known = false // look again
		c.nextAt = now
	}
}
