package node

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// restoreDrainWithin is how long after its start a node believes a peer that its
// backend server was draining before. Later answers may be from a peer that was
// cut off and has not heard that the drain ended.
const restoreDrainWithin = 10 * time.Second

// drainedBefore reports whether the sender of a Hello had a draining backend
// server in an earlier incarnation. It is asked before the new record replaces
// the earlier one.
func (l *loop) drainedBefore(hello endpoint.Record) bool {
	r, known := l.member.Table().Get(hello.Node)
	return known && r.Draining && r.Incarnation < hello.Incarnation
}

// restoreDrain keeps a drain over a restart of the node: hosts keep nothing, but
// the peers remember.
func (l *loop) restoreDrain(now time.Time, ev core.Event) {
	up, ok := ev.(core.PeerUp)
	if !ok || !up.Drained || now.Sub(l.started) > restoreDrainWithin {
		return
	}
	_ = level.Info(l.log).Log("event", "drain_restored", "from", up.Record.Node)
	l.onDrained()
}
