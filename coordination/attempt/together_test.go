package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCallsOfARunAreKnownByTheirEnd(t *testing.T) {
	to := NewTogether()
	until := begin.Add(300 * time.Millisecond)
	a := to.Join(begin, "s", until)
	b := to.Join(begin.Add(time.Millisecond), "s", until.Add(500*time.Microsecond))
	for what, other := range map[string]*Member{
		"expires later":      to.Join(begin, "s", until.Add(5*time.Millisecond)),
		"goes elsewhere":     to.Join(begin, "other", until),
		"arrived much later": to.Join(begin.Add(50*time.Millisecond), "s", until),
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
	must.Eq(t, 1, failing, must.Sprint("the run has failed"))
	b.Leave(true)
}

func TestRequestThatARepeatHasAnsweredFailsNoLonger(t *testing.T) {
	to := NewTogether()
	a, b := to.Join(begin, "s", begin), to.Join(begin, "s", begin)
	a.Failing()
	a.Leave(true)
	_, failing := b.Others()
	must.Eq(t, GainWhole, GainOf(failing))
	b.Leave(true)
	must.MapEmpty(t, to.groups)
}

func TestCallsOfARepeatedRunAreKnown(t *testing.T) {
	r := NewRuns()
	end := begin.Add(time.Second)
	r.Begin(end)
	r.Begin(end)
	must.True(t, r.Call(end.Add(3*time.Millisecond)))
	must.False(t, r.Call(end.Add(time.Second)))
	r.End(end)
	must.True(t, r.Call(end))
	r.End(end)
	must.False(t, r.Call(end))
}
