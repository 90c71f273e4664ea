package serverlimit

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestHintIsParsedAsWritten(t *testing.T) {
	for _, h := range []Hint{{}, {PerSecond: 10.9, Age: 1500 * time.Millisecond}, {PerSecond: 1e9, Age: time.Hour}, {PerSecond: 0.2}} {
		got, err := ParseHint(h.String())
		must.NoError(t, err)
		must.Eq(t, h, got)
	}
	for _, text := range []string{"", "/", "1", "1/", "/1", "-1/1", "NaN/1", "Inf/1", "1/-1", "1/1.5", "1/99999999999", "x/1"} {
		_, err := ParseHint(text)
		must.Error(t, err, must.Sprint(text))
	}
}

// Guards against a process that has just started and sends requests to a limited backend server
// before the first response shows the limit.
func TestHintSetsTheLimitUntilTheInstanceResponds(t *testing.T) {
	var l Tracker
	l.Begin("a")
	must.False(t, l.Adopt("b", Hint{PerSecond: 1}, at(0)), must.Sprint("of another instance"))
	must.True(t, l.Adopt("a", Hint{PerSecond: 5, Age: 2 * time.Second}, at(0)))
	must.False(t, l.Adopt("a", Hint{PerSecond: 9, Age: 3 * time.Second}, at(10)), must.Sprint("an older hint"))
	must.True(t, l.Adopt("a", Hint{PerSecond: 7, Age: time.Second}, at(10)))
	must.Eq(t, 7, limitOf(&l))
	_, limit, _ := l.Current()
	must.Eq(t, SourceEntryNode, limit.Source)
	must.False(t, l.Observe("a", silent(5), at(20)), must.Sprint("sent before the hint was adopted"))
	must.False(t, l.Adopt("a", Hint{PerSecond: 1}, at(30)), must.Sprint("the instance has responded"))
	must.True(t, l.Observe("a", silent(40), at(50)))
	must.False(t, l.Adopt("a", Hint{PerSecond: 1}, at(60)))
	must.Eq(t, -1, limitOf(&l))
	ended, when := l.Ended()
	must.Eq(t, 7, ended.PerSecond)
	must.Eq(t, at(50), when)
	l.Begin("b")
	must.True(t, l.Adopt("b", Hint{PerSecond: 1}, at(60)))
}

func TestEntryNodeKnowsLimitsByInstance(t *testing.T) {
	var k Known
	_, found := k.Hint("a", at(0))
	must.False(t, found)
	k.Observe("a", silent(0), at(0))
	k.Observe("a", stating(10, 0), at(10))
	h, found := k.Hint("a", at(1010))
	must.True(t, found)
	must.Eq(t, Hint{PerSecond: 10, Age: time.Second}, h)
	_, found = k.Hint("b", at(1010))
	must.False(t, found)
	k.Observe("a", silent(5), at(1020))
	_, found = k.Hint("a", at(1020))
	must.True(t, found, must.Sprint("an older response"))
	k.Observe("a", silent(1020), at(1030))
	_, found = k.Hint("a", at(1030))
	must.False(t, found)
}

// Guards against a table that grows with each start of each backend server.
func TestKnownLimitsAreBounded(t *testing.T) {
	var k Known
	for i := range 2 * maxKnown {
		k.Observe(strconv.Itoa(i), stating(1, i), at(i))
	}
	must.MapLen(t, maxKnown, k.statements)
	_, found := k.Hint(strconv.Itoa(2*maxKnown-1), at(0))
	must.True(t, found)
}

func TestRateLeavesTrialsUnderALimitOfZero(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 0.5, 3, 100} {
		rate, burst := Limit{Stated: true, PerSecond: perSecond}.Rate()
		must.GreaterEq(t, perSecond, rate)
		must.LessEq(t, 1.5*4*perSecond+5, 4*rate+max(1, burst))
	}
}

// Guards against a gate that has just started and takes the limit of an entry node for granted,
// although the backend server has lowered it since.
func TestHintIsNotTrustedUntilAResponseConfirmsIt(t *testing.T) {
	var l Tracker
	l.Begin("a")
	l.Adopt("a", Hint{PerSecond: 500, Age: 4 * time.Second}, at(0))
	rate := func() float64 {
		_, limit, _ := l.Current()
		perSecond, _ := limit.Rate()
		return perSecond
	}
	must.Eq(t, unconfirmedRate, rate())
	must.True(t, l.Observe("a", stating(500, 10), at(20)), must.Sprint("its rate has changed"))
	must.Eq(t, 500, rate())
	must.False(t, l.Observe("a", stating(500, 30), at(40)))
}
