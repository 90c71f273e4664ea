package perwork

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// However many workloads other nodes send, the map stays bounded, and the first ones keep a value of
// their own.
func TestWorkloadsAreBounded(t *testing.T) {
	var m Map[int]
	first := model.Work{Kind: model.KindInteractive, Rank: 1, Target: time.Millisecond}
	*m.Of(first) = 7
	for i := range 10 * MaxWorkloads {
		*m.Of(model.Work{Kind: model.ClassKind(rune('a' + i)), Rank: i})++
	}
	n := 0
	m.Each(func(model.Work, *int) { n++ })
	must.LessEq(t, MaxWorkloads+model.NumRanks, n)
	must.Eq(t, 7, *m.Of(first))
	must.Eq(t, 10*MaxWorkloads-MaxWorkloads+1, *m.Of(model.Work{Kind: "unheard", Rank: 99}))
}
