package bootclock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNowIsMonotonic(t *testing.T) {
	last := Now()
	must.True(t, last.After(time.Unix(0, 0)))
	for range 1000 {
		now := Now()
		must.False(t, now.Before(last))
		last = now
	}
}

// Readings must not follow steps of the wall clock: they advance with monotonic time.
func TestNowAdvancesWithMonotonicTime(t *testing.T) {
	before, monotonic := Now(), time.Now()
	time.Sleep(5 * time.Millisecond)
	inner := time.Since(monotonic)
	took := Now().Sub(before)
	must.GreaterEq(t, inner, took)
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
