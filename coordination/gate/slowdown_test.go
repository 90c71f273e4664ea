package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

func TestSlowdownFadesToTheUsual(t *testing.T) {
	g := New()
	must.Eq(t, 1, g.Slowdown(start))
	g.Slowed(1, start)
	must.Eq(t, 1, g.Slowdown(start))
	g.Slowed(2.5, start)
	for age, want := range map[time.Duration]float64{
		-time.Millisecond: 2.5, 0: 2.5, slowdownTTL / 2: 1.75, slowdownTTL: 1, time.Hour: 1,
	} {
		must.InDelta(t, want, g.Slowdown(start.Add(age)), 0.001, must.Sprint(age))
	}
	g.Slowed(1e9, start)
	must.Eq(t, mostSlowdown, g.Slowdown(start))
}

// The figures of a server that is always slow, or always fast, tell of its speed: only
// what passes is a slowdown.
func TestSpeedOfAServerIsNoSlowdown(t *testing.T) {
	for _, usual := range []float64{0.7, 1, 1.7} {
		g, now := New(), start
		g.Slowed(2.5*usual, now) // its first answer comes in a slow moment
		tell := func(figure float64, d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
				g.Slowed(figure, now)
			}
		}
		tell(usual, 2*time.Second)
		must.Eq(t, 1, g.Slowdown(now))
		for range 20 {
			tell(2.5*usual, 90*time.Millisecond)
			must.InDelta(t, 2.5, g.Slowdown(now), 0.2)
			tell(usual, 510*time.Millisecond)
			must.Eq(t, 1, g.Slowdown(now))
		}
		tell(2.5*usual, time.Minute) // it has become slow
		must.Eq(t, 1, g.Slowdown(now))
	}
}

// What is learnt of service times is free of slow moments, and the part that doesn't grow
// in them is learnt too.
func TestSlowMomentsDontSpoilServiceTimes(t *testing.T) {
	const own, calls = 100 * time.Millisecond, 50 * time.Millisecond
	g, w := New(), model.WorkOf(model.KindInteractive)
	for i := range 1000 {
		took, slow := own+calls, 1.0
		if i%6 == 0 {
			took, slow = own*5/2+calls, 2.5
		}
		g.used.Add(1)
		g.ReleaseSlowed(w, took, slow, start)
	}
	for range 100 { // a moment that has nearly passed tells nothing
		g.used.Add(1)
		g.ReleaseSlowed(w, own+calls, 1.001, start)
	}
	times := g.times.Of(w)
	must.InDelta(t, float64(own+calls), float64(g.Typical(w)), float64(5*time.Millisecond))
	must.InDelta(t, float64(own+calls), float64(g.Work()), float64(5*time.Millisecond))
	must.InDelta(t, float64(own*5/2+calls), float64(times.slowed(times.average(), 2.5)), float64(10*time.Millisecond))
}

// A request is refused while the host is slow where its entry node can choose again, and
// served where that would gain less than the way costs.
func TestRequestIsSentOnFromASlowHost(t *testing.T) {
	g := New()
	g.Update(Limits{Slots: 4, Connections: 4, QueueLength: 4}, start)
	long, short := model.WorkOf(model.KindInteractive), model.WorkOf(model.KindNonRepeatable)
	for range 64 {
		g.times.add(long, 200*time.Millisecond)
		g.times.add(short, 5*time.Millisecond)
	}
	enter := func(work model.Work, elsewhere bool) outcome.Reason {
		r := Request{Work: work, Deadline: start.Add(time.Hour), Due: start.Add(time.Minute), Elsewhere: elsewhere}
		reason := g.Enter(t.Context(), r, func() time.Time { return start })
		if reason == "" {
			g.Release(work, 0, start)
		}
		return reason
	}
	g.Slowed(0.7, start)
	must.Eq(t, "", enter(long, true), must.Sprint("as usual"))
	g.Slowed(2.5*0.7, start)
	must.Eq(t, outcome.ReasonHostSlow, enter(long, true))
	must.Eq(t, "", enter(long, false), must.Sprint("nobody else"))
	must.Eq(t, "", enter(short, true))
	must.Eq(t, "", enter(model.WorkOf(model.KindBulk), true), must.Sprint("nothing known"))
}
