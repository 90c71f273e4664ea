package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Messages of several instances with one identifier arrive late and in any order. An
// instance that has left is never ready again, and the current instance is the newest one
// that has sent a heartbeat and has not left. While it sends heartbeats, an earlier one
// doesn't replace it.
func TestMessagesInAnyOrder(t *testing.T) {
	const starts = 4
	rapid.Check(t, func(t *rapid.T) {
		var l Local
		now := begin
		left := make(map[int64]bool)
		newest := int64(0) // start time of the newest instance that has sent a heartbeat
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
				l.RecordHeartbeat(now, of(born, uint64(rapid.IntRange(1, 9).Draw(t, "sequence")), rapid.Bool().Draw(t, "draining")))
				newest = max(newest, born)
			}
			c := l.Current()
			if c == nil {
				must.True(t, newest == 0 || left[newest] || anyLater(left, newest))
				continue
			}
			must.False(t, left[c.Born] && c.State == Ready)
			must.False(t, c.Born < newest && !left[newest] && !anyLater(left, newest), must.Sprint("an earlier instance became current"))
		}
	})
}

// anyLater reports whether an instance that started later than born has left: all earlier
// ones count as ended then.
func anyLater(left map[int64]bool, born int64) bool {
	for b, gone := range left {
		if gone && b > born {
			return true
		}
	}
	return false
}
