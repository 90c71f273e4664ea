package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/protocol/message"
)

// A node that the zone's reader has not counted yet keeps a version from being
// called in force; one that only the reader knows counts as it says.
func TestUncountedNodesLackTheVersion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	report := distribute.ZoneReport{
		Status:     message.ZoneStatus{Zone: "csepel", Version: 7, Live: 3, Holding: 3},
		ReceivedAt: now.Add(-time.Second),
	}
	cases := []struct{ known, live uint32 }{{2, 3}, {3, 3}, {4, 4}}
	for _, c := range cases {
		z := zoneProgress(now, report, c.known)
		must.Eq(t, c.live, z.Live)
		must.Eq(t, 3, z.Holding)
		must.False(t, z.CutOff)
	}
	must.True(t, zoneProgress(now.Add(cutOffAfter), report, 3).CutOff)
}
