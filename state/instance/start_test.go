package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// of returns a heartbeat of the start of "a" at a time.
func of(born int64, sequence uint64, draining bool) Heartbeat {
	h := beat("a", sequence, draining)
	h.Born = born
	return h
}

func TestKeyIsReadAsItIsWritten(t *testing.T) {
	for _, s := range []Start{{ID: "i-7f"}, {ID: "i-7f", Born: 1764723600123}, {ID: "a@b"}, {ID: "a@b", Born: 1}, {ID: "a@"}, {}} {
		must.Eq(t, s, ParseStart(s.Key()))
	}
	must.NotEq(t, Start{ID: "a", Born: 1}.Key(), Start{ID: "a", Born: 2}.Key())
}

// Its counts start anew, and it knows nothing of before.
func TestReturnedBackendServerIsANewInstance(t *testing.T) {
	for name, end := range map[string]func(*Local){
		"it crashed":        func(*Local) {},
		"it drained":        func(l *Local) { l.Hear(begin, of(100, 8, true)) },
		"it said goodbye":   func(l *Local) { l.Leave(begin, Start{"a", 100}) },
		"it was found gone": func(l *Local) { l.Forget(begin, Start{"a", 100}) },
		"it fell silent":    func(l *Local) { l.Expire(begin.Add(time.Minute), time.Second) },
		"the node has restarted and learned of its drain": func(l *Local) {
			*l = Local{}
			l.Forget(begin, Start{"a", 100})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var l Local
			l.Hear(begin, of(100, 7, false))
			end(&l)
			must.True(t, l.Hear(begin, of(200, 1, false)))
			must.Eq(t, Ready, l.Current().State)
			must.Eq(t, 200, l.Current().Born)
			later := begin.Add(time.Minute)
			must.False(t, l.Hear(later, of(200, 2, false)))
			must.Eq(t, later, l.Current().Heard)
		})
	}
}

func TestLateWordOfAFormerStartChangesNothing(t *testing.T) {
	var l Local
	l.Hear(begin, of(100, 7, false))
	l.Hear(begin, of(200, 1, false))
	must.False(t, l.Hear(begin, of(100, 8, true)))
	must.False(t, l.Leave(begin, Start{"a", 100}))
	must.False(t, l.Forget(begin, Start{"a", 100}))
	must.Eq(t, Ready, l.Current().State)
	must.Eq(t, 200, l.Current().Born)
	must.True(t, l.Leave(begin, Start{"a", 200}))
}

// The time of day of a host may go back, and with it the time of a start. Such a start
// is used once the former one has been silent, or has left, for long enough.
func TestStartWhoseClockWentBackIsUsedInTime(t *testing.T) {
	var l Local
	l.Hear(begin, of(200, 7, false))
	must.False(t, l.Hear(begin.Add(time.Second), of(100, 1, false)))
	must.True(t, l.Expire(begin.Add(7*time.Second), 6500*time.Millisecond))
	must.True(t, l.Hear(begin.Add(8*time.Second), of(100, 5, false)))

	l = Local{}
	l.Hear(begin, of(200, 7, false))
	l.Forget(begin, Start{"a", 200})
	must.False(t, l.Hear(begin.Add(lateness/2), of(100, 1, false)))
	must.True(t, l.Hear(begin.Add(lateness), of(100, 9, false)))
	must.False(t, l.Hear(begin.Add(lateness), of(200, 8, false)), must.Sprint("the one that has left stays out"))
}

// One that doesn't tell its start is taken for the present one of its identifier.
func TestStartThatIsNotToldIsThePresentOne(t *testing.T) {
	var l Local
	l.Hear(begin, of(100, 1, false))
	must.False(t, l.Hear(begin, of(0, 2, false)))
	must.Eq(t, Start{"a", 100}.Key(), l.Current().Key())
	must.True(t, l.Leave(begin, Start{ID: "a"}))
	l.Forget(begin, Start{ID: "a"})
	must.False(t, l.Hear(begin, of(0, 3, false)))
	must.False(t, l.Hear(begin, of(300, 1, false)), must.Sprint("which one left isn't known"))
}
