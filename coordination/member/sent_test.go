package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// heartbeats returns the number of heartbeats sent to a peer in 20 s. Another core sends
// the peer a message at each otherInterval; 0 for none.
func heartbeats(to model.NodeID, otherInterval time.Duration) int {
	c, now := coreWithLinks(2)
	if otherInterval > 0 {
		c.MarkSent(now, to)
	}
	count := 0
	for i := 1; i <= 200; i++ {
		now = now.Add(100 * time.Millisecond)
		elapsed := time.Duration(i) * 100 * time.Millisecond
		if otherInterval > 0 && elapsed%otherInterval == 0 {
			c.MarkSent(now, to)
		}
		c.Step(now, core.Received{From: record(0, 1).Node, Message: &message.Beacon{}})
		c.Step(now, core.Received{From: record(0, 2).Node, Message: &message.Beacon{}})
		for _, s := range actionsOf[core.Send](c.Step(now, core.Tick{})) {
			if d, ok := s.Message.(*message.Digest); ok && s.To == to && len(d.Zones) == 0 {
				count++
			}
		}
	}
	return count
}

func TestOtherMessagesReplaceHeartbeats(t *testing.T) {
	to := record(0, 1).Node
	must.Between(t, 8, heartbeats(to, 0), 10)
	must.Zero(t, heartbeats(to, time.Second))
	// Messages at longer intervals than HeartbeatInterval replace only some heartbeats.
	must.Between(t, 4, heartbeats(to, 4*time.Second), 6)
	must.Between(t, 8, heartbeats(record(0, 9).Node, 0)+heartbeats(record(0, 2).Node, 0), 10)
}
