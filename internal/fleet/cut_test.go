package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// relayed turns the relays on.
func relayed(c *Config) { c.Relay = true }

// progress reads how far the fleet is with a version, as a node knows it.
func progress(t *testing.T, m *Member, version uint64) *operator.Progress {
	t.Helper()
	p, err := m.Operator().Progress(context.Background(), version, 0)
	must.NoError(t, err)
	return p
}

// zoneOf picks one zone of a progress.
func zoneOf(p *operator.Progress, zone model.Zone) operator.ZoneProgress {
	for _, z := range p.Zones {
		if z.Zone == zone {
			return z
		}
	}
	return operator.ZoneProgress{}
}

func heldBy(t *testing.T, m *Member) uint64 {
	t.Helper()
	d, err := m.Operator().Documents(context.Background(), "contract", "")
	must.NoError(t, err)
	return d.Version
}

func TestZoneCutServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	f := start(t, RoomSignage(), relayed)
	docs := batch(t, "room-signage")
	first := apply(t, f.Members[0], "first", docs, nil)
	near, far := f.Members[0], f.Members[2]
	must.NotEq(t, near.Zone, far.Zone)

	f.CutZone(far.Zone, true)
	change := docs.Contracts[0]
	change.Weight++
	base := map[string]uint64{"contract/" + change.Organisation: first.Version}
	resp, err := near.Operator().Apply(context.Background(), &operator.ApplyRequest{
		ChangeID: "second", Batch: model.Batch{Contracts: []*model.Contract{change}}, Base: base,
	})
	must.NoError(t, err)
	eventually(t, "other zones hold the change and the cut-off zone is named", func() bool {
		p := progress(t, near, resp.Version)
		z := zoneOf(p, near.Zone)
		return !p.InForce && z.Version >= resp.Version && z.Holding == z.Live && zoneOf(p, far.Zone).CutOff
	})

	must.Eq(t, first.Version, heldBy(t, far))
	host, path := change.Hosts[0], change.Routes[0].PathPrefix
	eventually(t, "the cut-off zone answers", func() bool {
		r, _ := get(t, far, host, path)
		return r.Header.Get(outcome.HeaderOutcome) == string(outcome.Answered)
	})
	must.Eq(t, uint32(3), zoneOf(progress(t, near, resp.Version), far.Zone).Live)

	f.HealZone(far.Zone)
	healed := time.Now()
	eventually(t, "in force after the cut", func() bool { return progress(t, near, resp.Version).InForce })
	t.Logf("in force everywhere %s after the cut healed", time.Since(healed).Round(time.Millisecond))
}
