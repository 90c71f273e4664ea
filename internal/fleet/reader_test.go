package fleet

import (
	"context"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// readerOf returns the member of a zone that holds the zone's lease, by its own
// word, or nil when there is none or more than one.
func readerOf(f *Fleet, zone model.Zone, but ...*Member) *Member {
	var reader *Member
	for _, m := range zoneMembers(f, zone) {
		if len(but) > 0 && m == but[0] {
			continue
		}
		s, err := m.Operator().Status(context.Background())
		if err != nil || !s.Reader {
			continue
		}
		if reader != nil {
			return nil
		}
		reader = m
	}
	return reader
}

// someReader waits until a zone has one reader.
func someReader(t *testing.T, f *Fleet, zone model.Zone, but ...*Member) *Member {
	t.Helper()
	var reader *Member
	eventually(t, "one reader of "+string(zone), func() bool {
		reader = readerOf(f, zone, but...)
		return reader != nil
	})
	return reader
}

// race lets every node take a change of the same contract, all with the same
// base, at the same time. One is accepted; the others name its revision.
func race(t *testing.T, c *changes, nodes ...*Member) uint64 {
	t.Helper()
	type answer struct {
		req  *operator.ApplyRequest
		resp *operator.ApplyResponse
		err  error
	}
	answers := make(chan answer)
	for i, m := range nodes {
		req := c.request()
		req.ChangeID += "-by-" + string(m.Node)
		req.Batch.Contracts[0].Weight += i // no two are alike
		go func() {
			resp, err := m.Operator().Apply(context.Background(), req)
			answers <- answer{req, resp, err}
		}()
	}
	var won []answer
	var conflicts []*operator.Problem
	for range nodes {
		a := <-answers
		var p *operator.Problem
		switch {
		case a.err == nil:
			won = append(won, a)
		case errors.As(a.err, &p) && p.Code == operator.CodeConflict:
			conflicts = append(conflicts, p)
		default:
			t.Errorf("neither accepted nor in conflict: %v", a.err)
		}
	}
	must.Len(t, 1, won)
	for _, p := range conflicts {
		must.Eq(t, "contract/"+organisation, p.Document)
		must.Eq(t, won[0].resp.Version, p.Revision)
	}
	c.accepted(won[0].req, won[0].resp.Version)
	return won[0].resp.Version
}

// A zone's reader is frozen past its lease while operators race; another zone
// is cut off and its reader killed. Nothing goes back, each race has one winner
// and each zone ends with one reader.
func TestFrozenReaderAndRaces(t *testing.T) {
	t.Parallel()
	f := start(t, Spread(9, "angyalfold", "csepel", "obuda"), relayed)
	c := first(t, f)
	o := observe(t, f)
	a := zoneMembers(f, "angyalfold")
	race(t, c, a[0], a[1], zoneMembers(f, "obuda")[0])

	frozen := someReader(t, f, "csepel")
	must.NoError(t, frozen.FreezeNode())
	next := someReader(t, f, "csepel", frozen)
	changed := race(t, c, a[0], a[1], next)
	eventually(t, "the others hold the change, and the frozen node is named", func() bool {
		z := zoneOf(progress(t, a[0], changed), "csepel")
		named := slices.Contains(z.Missing, frozen.Node) || recordOf(t, a[0], frozen).State != recordOf(t, a[0], next).State
		return z.Version == changed && z.Holding >= 2 && named
	})
	must.NoError(t, frozen.ThawNode())
	eventually(t, "the frozen reader finds its lease lost", func() bool {
		s, err := frozen.Operator().Status(context.Background())
		return err == nil && !s.Reader && s.Held.Version == c.base
	})
	must.NotNil(t, readerOf(f, "csepel"))
	inForce(t, a[0], c.base)

	f.CutZone("obuda", true)
	killed := someReader(t, f, "obuda")
	killed.KillNode()
	version := race(t, c, a...)
	eventually(t, "the others hold the change, and obuda is named", func() bool {
		p := progress(t, a[0], version)
		z := zoneOf(p, "csepel")
		return !p.InForce && z.Version == version && z.Holding == z.Live && zoneOf(p, "obuda").CutOff
	})
	must.NoError(t, killed.StartNode())
	f.HealZone("obuda")
	inForce(t, a[0], version)
	someReader(t, f, "obuda")
	checkNeverBack(t, f, o, c.count)
	for _, m := range f.Members {
		must.Eq(t, version, heldBy(t, m))
	}
	h, err := a[0].Operator().History(context.Background(), "", 0)
	must.NoError(t, err)
	must.Len(t, c.count+1, h.Entries) // the losers of the races left nothing
}
