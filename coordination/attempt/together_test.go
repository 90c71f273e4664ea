package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCallsOfARunAreGroupedByDeadline(t *testing.T) {
	groups := NewCallGroups()
	deadline := begin.Add(300 * time.Millisecond)
	a := groups.Join(begin, "s", deadline)
	b := groups.Join(begin.Add(time.Millisecond), "s", deadline.Add(500*time.Microsecond))
	for what, other := range map[string]*Member{
		"expires later":       groups.Join(begin, "s", deadline.Add(5*time.Millisecond)),
		"for another service": groups.Join(begin, "other", deadline),
		"arrived much later":  groups.Join(begin.Add(50*time.Millisecond), "s", deadline),
	} {
		all, failing := other.Others()
		must.Eq(t, 0, all+failing, must.Sprint(what))
	}
	a.Failing()
	a.Failing()
	all, failing := a.Others()
	must.Eq(t, []int{1, 0}, []int{all, failing})
	all, failing = b.Others()
	must.Eq(t, []int{1, 1}, []int{all, failing})
	a.Leave(false)
	_, failing = b.Others()
	must.Eq(t, 1, failing, must.Sprint("a failed call that has left still counts"))
	b.Leave(true)
}

func TestRequestAnsweredByARetryNoLongerCountsAsFailed(t *testing.T) {
	groups := NewCallGroups()
	a, b := groups.Join(begin, "s", begin), groups.Join(begin, "s", begin)
	a.Failing()
	a.Leave(true)
	_, failing := b.Others()
	must.Eq(t, GainWhole, GainOf(failing))
	b.Leave(true)
	must.MapEmpty(t, groups.groups)
}

func TestNestedCallsOfARetryAreRecognised(t *testing.T) {
	r := NewRuns()
	deadline := begin.Add(time.Second)
	r.Begin(deadline)
	r.Begin(deadline)
	must.True(t, r.Call(deadline.Add(3*time.Millisecond)))
	must.False(t, r.Call(deadline.Add(time.Second)))
	r.End(deadline)
	must.True(t, r.Call(deadline))
	r.End(deadline)
	must.False(t, r.Call(deadline))
}
