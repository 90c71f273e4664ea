package serverlimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_000_000, 0)

// at returns the time a number of milliseconds after begin.
func at(millis int) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }

// stating returns a response, to a request sent at a time, that states a limit.
func stating(perSecond float64, sent int) Response {
	return Response{Stated: true, PerSecond: perSecond, Conclusive: true, Sent: at(sent)}
}

// silent returns a response, to a request sent at a time, that states no limit.
func silent(sent int) Response { return Response{Conclusive: true, Sent: at(sent)} }

// limitOf returns the tracked limit; -1 if there is none.
func limitOf(t *Tracker) float64 {
	if _, l, _ := t.Current(); l.Stated {
		return l.PerSecond
	}
	return -1
}

func TestLimitHoldsUntilAResponseStatesNone(t *testing.T) {
	var l Tracker
	l.Begin("a")
	must.False(t, l.Observe("a", silent(0), at(10)))
	must.True(t, l.Observe("a", stating(10, 0), at(10)))
	must.False(t, l.Observe("a", stating(10, 20), at(30)))
	must.Eq(t, 10, limitOf(&l))
	must.True(t, l.Observe("a", stating(20, 40), at(50)))
	must.True(t, l.Observe("a", stating(0, 40), at(60)))
	must.Eq(t, 0, limitOf(&l))
	must.True(t, l.Observe("a", silent(70), at(80)))
	must.Eq(t, -1, limitOf(&l))
	_, _, changes := l.Current()
	must.Eq(t, 4, changes)
}

// Guards against a limit that is raised or ended by a response written before the one that
// stated it.
func TestOlderResponseDoesNotLoosenALimit(t *testing.T) {
	var l Tracker
	l.Begin("a")
	l.Observe("a", stating(10, 0), at(50))
	must.False(t, l.Observe("a", silent(40), at(60)), must.Sprint("sent before the limit was learned"))
	must.False(t, l.Observe("a", stating(20, 40), at(60)))
	must.False(t, l.Observe("a", stating(10, 40), at(70)))
	must.False(t, l.Observe("a", silent(60), at(80)), must.Sprint("the limit was confirmed at 70 ms"))
	must.True(t, l.Observe("a", stating(5, 0), at(90)), must.Sprint("a stricter limit applies at once"))
	must.True(t, l.Observe("a", silent(91), at(100)))
}

// Guards against a limit that is never raised while several requests are always in flight.
func TestRaisedLimitAppliesWhileRequestsOverlap(t *testing.T) {
	var l Tracker
	l.Begin("a")
	l.Observe("a", stating(10, 0), at(100))
	for sent := 10; ; sent += 10 {
		must.Less(t, 300, sent)
		if l.Observe("a", stating(20, sent), at(sent+100)) {
			break
		}
	}
	must.Eq(t, 20, limitOf(&l))
}

func TestInconclusiveResponseDoesNotEndALimit(t *testing.T) {
	var l Tracker
	l.Begin("a")
	l.Observe("a", stating(10, 0), at(10))
	must.False(t, l.Observe("a", Response{Sent: at(20)}, at(30)))
	must.Eq(t, 10, limitOf(&l))
}

// Guards against the limit of one start of a backend server that holds for the next one, and
// against responses of the former one that set a limit on it.
func TestNextInstanceStartsWithoutALimit(t *testing.T) {
	var l Tracker
	l.Begin("a@1")
	l.Observe("a@1", stating(10, 0), at(10))
	l.Begin("a@1")
	must.Eq(t, 10, limitOf(&l))
	l.Begin("a@2")
	must.Eq(t, -1, limitOf(&l))
	must.False(t, l.Observe("a@1", stating(10, 20), at(30)))
	must.Eq(t, -1, limitOf(&l))
}
