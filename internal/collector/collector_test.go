package collector

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestPace checks that a small heap may grow to the goal and that a large one
// keeps the default GC percent, so that the heap stays within twice its live size.
func TestPace(t *testing.T) {
	c := Config{Goal: 24 << 20, MaxPercent: 400}
	for live, want := range map[uint64]int{
		0: 400, 1 << 20: 400, 6 << 20: 300, 8 << 20: 200, 12 << 20: 100, 20 << 20: 100, 24 << 20: 100, 1 << 30: 100,
	} {
		must.Eq(t, want, c.percent(live), must.Sprint(live))
		if live <= c.Goal/2 {
			must.LessEq(t, c.Goal, live*uint64(100+c.percent(live))/100)
		}
	}
}

// TestLimit checks that the configured limit applies to small heaps and that the
// limit is never below one and a half times the live heap.
func TestLimit(t *testing.T) {
	c := Config{Limit: 52 << 20}
	for live, want := range map[uint64]int64{
		0: 52 << 20, 10 << 20: 52 << 20, 32 << 20: 52 << 20, 36 << 20: 56 << 20, 40 << 20: 64 << 20, 1 << 30: 3 << 29,
	} {
		must.Eq(t, want, c.limit(live), must.Sprint(live))
	}
}
