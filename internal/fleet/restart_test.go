package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// restart kills members at the same time and starts them again.
func restart(t *testing.T, members ...*Member) {
	t.Helper()
	for _, m := range members {
		m.KillNode()
	}
	for _, m := range members {
		must.NoError(t, m.StartNode())
	}
}

// zoneMembers returns the members of a zone.
func zoneMembers(f *Fleet, zone model.Zone) []*Member {
	var out []*Member
	for _, m := range f.Members {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	return out
}

// Nodes are killed and return one by one, a zone at a time, and all but one,
// also while the platform is cut off: none goes back.
func TestRestartsNeverGoBack(t *testing.T) {
	t.Parallel()
	f := start(t, Spread(9, "angyalfold", "csepel", "obuda"), relayed)
	c := first(t, f)
	o := observe(t, f)
	survivor := f.Members[0]
	c.next(t, survivor)
	restart(t, f.Members[1])
	c.next(t, survivor)
	herd := zoneMembers(f, "obuda")
	for _, m := range herd {
		m.KillNode()
	}
	version := c.next(t, survivor)
	eventually(t, "the others hold the change, and obuda is named as behind", func() bool {
		p := progress(t, survivor, version)
		z := zoneOf(p, "csepel")
		return !p.InForce && z.Version == version && z.Holding == z.Live && zoneOf(p, "obuda").Version < version
	})
	restart(t, herd...)
	for range 5 {
		c.next(t, survivor)
		time.Sleep(100 * time.Millisecond) // changes go on while the herd returns
	}
	inForce(t, survivor, c.base)

	f.CutPlatform()
	req := c.request()
	told := make(chan error)
	go func() {
		_, err := survivor.Operator().Apply(context.Background(), req)
		told <- err
	}()
	restart(t, f.Members[1:]...)
	for _, m := range f.Members[1:] {
		eventually(t, string(m.Node)+" is ready without the platform", func() bool {
			_, reason := ask(m, marker(c.count))
			return served(reason)
		})
	}
	notAccepted(t, <-told)
	f.HealPlatform()
	last := settle(t, c, survivor, req)
	inForce(t, survivor, last)
	checkNeverBack(t, f, o, c.count)
	must.Positive(t, o.notReady)
}
