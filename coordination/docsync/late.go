package docsync

import "time"

// learn notes that a version exists.
func (c *Core) learn(version uint64) {
	if version > max(c.newest, c.rejected) {
		if c.newest <= c.held {
			c.behindSince = c.now
		}
		c.newest, c.newestAt = version, c.now
	}
}

// behind returns how long this node has known of a version newer than the one it holds; 0 if it knows
// of none.
func (c *Core) behind() time.Duration {
	if c.newest <= max(c.held, c.rejected) {
		return 0
	}
	return c.now.Sub(c.behindSince)
}

// reportLate emits Late for the newest version if it has not been applied for LateAfter.
func (c *Core) reportLate() {
	if c.newest <= c.reportedLate || c.behind() < c.cfg.LateAfter {
		return
	}
	c.reportedLate = c.newest
	c.emit(Late{Version: c.newest, Held: c.held, Source: c.fetch.source})
}
