package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// heartbeats counts the heartbeats to a peer in 20 s. Other messages go to it
// at the given interval; 0 for none.
func heartbeats(to model.NodeID, others time.Duration) int {
	c, now := linked(2)
	if others > 0 {
		c.Sent(now, to)
	}
	count := 0
	for i := 1; i <= 200; i++ {
		now = now.Add(100 * time.Millisecond)
		elapsed := time.Duration(i) * 100 * time.Millisecond
		if others > 0 && elapsed%others == 0 {
			c.Sent(now, to)
		}
		c.Step(now, core.Received{From: record(0, 1).Node, Message: &message.Beacon{}})
		c.Step(now, core.Received{From: record(0, 2).Node, Message: &message.Beacon{}})
		for _, s := range find[core.Send](c.Step(now, core.Tick{})) {
			if d, ok := s.Message.(*message.Digest); ok && s.To == to && len(d.Zones) == 0 {
				count++
			}
		}
	}
	return count
}

func TestOtherMessagesSaveHeartbeats(t *testing.T) {
	to := record(0, 1).Node
	must.Between(t, 8, heartbeats(to, 0), 10)
	must.Zero(t, heartbeats(to, time.Second))
	// Messages that come too seldom save only some.
	must.Between(t, 4, heartbeats(to, 4*time.Second), 6)
	must.Between(t, 8, heartbeats(record(0, 9).Node, 0)+heartbeats(record(0, 2).Node, 0), 10)
}
