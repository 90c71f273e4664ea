package docsync

// learn notes that a version exists.
func (c *Core) learn(version uint64) {
	if version > max(c.newest, c.rejected) {
		if c.newest <= c.held {
			c.behindSince = c.now
		}
		c.newest = version
	}
}

// reportLate emits Late for the newest version if it has not been applied for LateAfter.
func (c *Core) reportLate() {
	if c.newest <= max(c.held, c.reportedLate, c.rejected) || c.now.Sub(c.behindSince) < c.cfg.LateAfter {
		return
	}
	c.reportedLate = c.newest
	c.emit(Late{Version: c.newest, Held: c.held, Source: c.fetch.source})
}
