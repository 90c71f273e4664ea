package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_000_000, 0)

func lane() *Lane { return New(Config{BytesPerSecond: 1e6, FirstSize: 1e5, SizeGain: 0.5}) }

func TestNoMoreIsAdmittedThanCanBeSentInTime(t *testing.T) {
	l := lane() // an answer takes 100 ms
	admitted := 0
	for range 10 {
		if _, ok := l.Admit(begin, 150*time.Millisecond); ok {
			admitted++
		}
	}
	must.Eq(t, 2, admitted)
	_, ok := l.Admit(begin.Add(100*time.Millisecond), 150*time.Millisecond)
	must.True(t, ok, must.Sprint("what was sent makes room"))
}

func TestRoomFollowsTheRealSize(t *testing.T) {
	l := lane()
	a, _ := l.Admit(begin, 0)
	a.Size(3e5)
	_, ok := l.Admit(begin.Add(299*time.Millisecond), 0)
	must.False(t, ok)
	b, ok := l.Admit(begin.Add(300*time.Millisecond), 0)
	must.True(t, ok)
	b.Size(0) // it was refused by the backend server
	_, ok = l.Admit(begin.Add(300*time.Millisecond), 0)
	must.True(t, ok)
	must.Eq(t, 2e5, l.size, must.Sprint("the mean of 1e5 and 3e5; an empty one doesn't count"))
}

func TestPiecesKeepToTheRate(t *testing.T) {
	l := lane()
	now := begin
	for range 100 {
		now = now.Add(l.Piece(now, 1e4))
	}
	must.Eq(t, 990*time.Millisecond, now.Sub(begin), must.Sprint("99 pieces of 10 ms before the last"))
	must.Eq(t, 0, l.Piece(now.Add(time.Second), 1e4), must.Sprint("an idle lane sends at once"))
}

func TestManyLinksAreTooFastToMatter(t *testing.T) {
	l := New(DefaultConfig(1e9))
	for range 20 {
		_, ok := l.Admit(begin, 50*time.Millisecond)
		must.True(t, ok)
	}
}
