package distribute

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFleetStartsAndFollows(t *testing.T) {
	n := startAll(t, 1, 17, 17, 16)
	n.publish(7)
	n.run(500 * time.Millisecond)
	must.SliceEmpty(t, n.behind())
	for _, d := range n.nodes {
		zones := d.core.Status().Zones
		must.Len(t, 3, zones)
		for _, z := range zones {
			must.True(t, z.InForce(2), must.Sprint(z.Status))
		}
	}
}
