package distribute

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
)

func (c *Core) rejectionsReceived(now time.Time, p *peer, m *message.Rejections) {
	if m.Zone != c.self.Zone || (!c.reader.isReader && p.id() == c.beacons.upstream) {
		return
	}
	c.setChild(p, true)
	for _, r := range m.Rejections {
		c.queueRejection(now, r)
	}
}

// queueRejection records a rejection if this node is the reader. Otherwise it
// queues the rejection for the upstream neighbour, unless one of the same or a
// newer version is pending.
func (c *Core) queueRejection(now time.Time, r message.Rejection) {
	if c.reader.isReader {
		c.zone.recordRejection(now, r)
		return
	}
	if old, pending := c.acks.rejections[r.Node]; pending && old.Version >= r.Version {
		return
	}
	c.acks.rejections[r.Node] = r
	c.scheduleFlush(now)
}

func (c *Core) flushRejections() {
	if len(c.acks.rejections) == 0 {
		return
	}
	m := &message.Rejections{Zone: c.self.Zone}
	for _, id := range slices.Sorted(maps.Keys(c.acks.rejections)) {
		m.Rejections = append(m.Rejections, c.acks.rejections[id])
	}
	clear(c.acks.rejections)
	c.send(c.beacons.upstream, message.Normal, m)
}
