package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSlowdownFadesToTheUsual(t *testing.T) {
	g := New()
	factor, told := g.Slowdown(start)
	must.False(t, told)
	must.Eq(t, 1, factor)
	g.Slowed(2.5, start)
	for age, want := range map[time.Duration]float64{
		-time.Millisecond: 2.5, 0: 2.5, slowdownTTL / 2: 1.75, slowdownTTL: 1, time.Hour: 1,
	} {
		factor, told = g.Slowdown(start.Add(age))
		must.True(t, told)
		must.InDelta(t, want, factor, 0.001, must.Sprint(age))
	}
	g.Slowed(1e9, start)
	factor, _ = g.Slowdown(start)
	must.Eq(t, maxSlowdown, factor)
}
