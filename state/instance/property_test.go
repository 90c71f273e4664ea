package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Words of several starts of one identifier, late and in any order: a start that has
// left never takes requests again, the newest start that has been heard and has not
// left is the one that is used, and nobody goes back to an earlier one while it is heard.
func TestWordsInAnyOrder(t *testing.T) {
	const starts = 4
	rapid.Check(t, func(t *rapid.T) {
		var l Local
		now := begin
		left := make(map[int64]bool)
		newest := int64(0) // of the starts heard
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			born := 100 * int64(rapid.IntRange(1, starts).Draw(t, "start"))
			s := Start{ID: "a", Born: born}
			switch rapid.IntRange(0, 4).Draw(t, "word") {
			case 0:
				l.Leave(now, s)
				left[born] = true
			case 1:
				l.Forget(now, s)
				left[born] = true
			default:
				l.Hear(now, of(born, uint64(rapid.IntRange(1, 9).Draw(t, "sequence")), rapid.Bool().Draw(t, "draining")))
				newest = max(newest, born)
			}
			c := l.Current()
			if c == nil {
				must.True(t, newest == 0 || left[newest] || anyLater(left, newest))
				continue
			}
			must.False(t, left[c.Born] && c.State == Ready)
			must.False(t, c.Born < newest && !left[newest] && !anyLater(left, newest), must.Sprint("it went back"))
		}
	})
}

// anyLater reports whether a later start than the given one has left: all earlier ones
// are held to be over then.
func anyLater(left map[int64]bool, born int64) bool {
	for b, gone := range left {
		if gone && b > born {
			return true
		}
	}
	return false
}
