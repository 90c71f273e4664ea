package fleet

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// recordOf reads what a node knows of another.
func recordOf(t *testing.T, asked, target *Member) operator.NodeStatus {
	t.Helper()
	s, err := asked.Operator().Status(context.Background())
	must.NoError(t, err)
	for _, n := range s.Nodes {
		if n.Node == target.Node {
			return n
		}
	}
	return operator.NodeStatus{}
}

// A backend server that is leaving stays so when its host's node is killed and
// comes back, though the host keeps nothing.
func TestDrainOutlivesItsNode(t *testing.T) {
	f := start(t, RoomSignage()[:6])
	asked, target := f.Members[1], f.Members[0]
	eventually(t, "the server is known", func() bool {
		s, err := asked.Operator().Status(context.Background())
		return err == nil && len(s.Endpoints) == 3 && len(s.Nodes) == 6
	})
	req := &operator.DrainRequest{Node: target.Node, Drain: true}
	must.NoError(t, asked.Operator().Drain(context.Background(), req))
	eventually(t, "the drain is known", func() bool { return recordOf(t, asked, target).Draining })
	before := recordOf(t, asked, target)

	target.KillNode()
	must.NoError(t, target.StartNode())
	eventually(t, "the server is announced again", func() bool {
		now := recordOf(t, asked, target)
		return now.Incarnation > before.Incarnation && now.Service != ""
	})
	must.True(t, recordOf(t, asked, target).Draining)
}
