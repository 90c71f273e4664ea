package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// of returns a heartbeat of the instance of "a" with a start time.
func of(born int64, sequence uint64, draining bool) Heartbeat {
	h := beat("a", sequence, draining)
	h.Born = born
	return h
}

func TestParseStartInvertsKey(t *testing.T) {
	for _, s := range []Start{{ID: "i-7f"}, {ID: "i-7f", Born: 1764723600123}, {ID: "a@b"}, {ID: "a@b", Born: 1}, {ID: "a@"}, {}} {
		must.Eq(t, s, ParseStart(s.Key()))
	}
	must.NotEq(t, Start{ID: "a", Born: 1}.Key(), Start{ID: "a", Born: 2}.Key())
}

// A restarted backend server counts its heartbeats from the beginning and is ready again,
// whatever state its former instance was in.
func TestRestartedBackendServerIsANewInstance(t *testing.T) {
	for name, end := range map[string]func(*Local){
		"it crashed":       func(*Local) {},
		"it drained":       func(l *Local) { l.RecordHeartbeat(begin, of(100, 8, true)) },
		"it said goodbye":  func(l *Local) { l.Leave(begin, Start{"a", 100}) },
		"it was forgotten": func(l *Local) { l.Forget(begin, Start{"a", 100}) },
		"it expired":       func(l *Local) { l.Expire(begin.Add(time.Minute), time.Second) },
		"the node has restarted and learned of its drain": func(l *Local) {
			*l = Local{}
			l.Forget(begin, Start{"a", 100})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var l Local
			l.RecordHeartbeat(begin, of(100, 7, false))
			end(&l)
			must.True(t, l.RecordHeartbeat(begin, of(200, 1, false)))
			must.Eq(t, Ready, l.Current().State)
			must.Eq(t, 200, l.Current().Born)
			later := begin.Add(time.Minute)
			must.False(t, l.RecordHeartbeat(later, of(200, 2, false)))
			must.Eq(t, later, l.Current().LastHeartbeat)
		})
	}
}

func TestLateMessageOfAFormerInstanceChangesNothing(t *testing.T) {
	var l Local
	l.RecordHeartbeat(begin, of(100, 7, false))
	l.RecordHeartbeat(begin, of(200, 1, false))
	must.False(t, l.RecordHeartbeat(begin, of(100, 8, true)))
	must.False(t, l.Leave(begin, Start{"a", 100}))
	must.False(t, l.Forget(begin, Start{"a", 100}))
	must.Eq(t, Ready, l.Current().State)
	must.Eq(t, 200, l.Current().Born)
	must.True(t, l.Leave(begin, Start{"a", 200}))
}

// A host's clock may be set back, so that a new instance has an earlier start time than
// the former one. It is accepted once the former one has expired, or has left for at
// least the time lateMessageWindow.
func TestInstanceStartedAfterClockWasSetBackIsAccepted(t *testing.T) {
	var l Local
	l.RecordHeartbeat(begin, of(200, 7, false))
	must.False(t, l.RecordHeartbeat(begin.Add(time.Second), of(100, 1, false)))
	must.True(t, l.Expire(begin.Add(7*time.Second), 6500*time.Millisecond))
	must.True(t, l.RecordHeartbeat(begin.Add(8*time.Second), of(100, 5, false)))

	l = Local{}
	l.RecordHeartbeat(begin, of(200, 7, false))
	l.Forget(begin, Start{"a", 200})
	must.False(t, l.RecordHeartbeat(begin.Add(lateMessageWindow/2), of(100, 1, false)))
	must.True(t, l.RecordHeartbeat(begin.Add(lateMessageWindow), of(100, 9, false)))
	must.False(t, l.RecordHeartbeat(begin.Add(lateMessageWindow), of(200, 8, false)), must.Sprint("the instance that has left must not return"))
}

// A message without a start time is attributed to the current instance if that has its
// identifier.
func TestMessageWithoutStartTimeIsFromTheCurrentInstance(t *testing.T) {
	var l Local
	l.RecordHeartbeat(begin, of(100, 1, false))
	must.False(t, l.RecordHeartbeat(begin, of(0, 2, false)))
	must.Eq(t, Start{"a", 100}.Key(), l.Current().Key())
	must.True(t, l.Leave(begin, Start{ID: "a"}))
	l.Forget(begin, Start{ID: "a"})
	must.False(t, l.RecordHeartbeat(begin, of(0, 3, false)))
	must.False(t, l.RecordHeartbeat(begin, of(300, 1, false)), must.Sprint("either instance may be the one that left"))
}
