package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

func TestSlowdownDecays(t *testing.T) {
	g := New()
	must.Eq(t, 1, g.Slowdown(start))
	g.ReportSlowness(1, start)
	must.Eq(t, 1, g.Slowdown(start))
	g.ReportSlowness(2.5, start)
	for age, want := range map[time.Duration]float64{
		-time.Millisecond: 2.5, 0: 2.5, slowdownTTL / 2: 1.75, slowdownTTL: 1, time.Hour: 1,
	} {
		must.InDelta(t, want, g.Slowdown(start.Add(age)), 0.001, must.Sprint(age))
	}
	g.ReportSlowness(1e9, start)
	must.Eq(t, maxSlowdown, g.Slowdown(start))
}

// The slowness that a backend server reports includes its own speed, whether high or low. Only a
// temporary change is a slowdown.
func TestServersOwnSpeedIsNoSlowdown(t *testing.T) {
	for _, baseline := range []float64{0.7, 1, 1.7} {
		g, now := New(), start
		g.ReportSlowness(2.5*baseline, now) // the first report is from a slow period
		report := func(slowness float64, d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
				g.ReportSlowness(slowness, now)
			}
		}
		report(baseline, 2*time.Second)
		must.Eq(t, 1, g.Slowdown(now))
		for range 20 {
			report(2.5*baseline, 90*time.Millisecond)
			must.InDelta(t, 2.5, g.Slowdown(now), 0.2)
			report(baseline, 510*time.Millisecond)
			must.Eq(t, 1, g.Slowdown(now))
		}
		report(2.5*baseline, time.Minute) // it has become slow permanently
		must.Eq(t, 1, g.Slowdown(now))
	}
}

// The estimated service times exclude the effect of slowdowns, and the part of the service time
// that doesn't grow with a slowdown is estimated too.
func TestSlowMomentsDontSpoilServiceTimes(t *testing.T) {
	const own, calls = 100 * time.Millisecond, 50 * time.Millisecond
	g, w := New(), model.WorkOf(model.KindInteractive)
	for i := range 1000 {
		took, slowdown := own+calls, 1.0
		if i%6 == 0 {
			took, slowdown = own*5/2+calls, 2.5
		}
		g.used.Add(1)
		g.ReleaseSlowed(w, took, slowdown, start)
	}
	for range 100 { // nothing is learned from a slowdown that has almost decayed
		g.used.Add(1)
		g.ReleaseSlowed(w, own+calls, 1.001, start)
	}
	times := g.serviceTimes.Of(w)
	must.InDelta(t, float64(own+calls), float64(g.Typical(w)), float64(5*time.Millisecond))
	must.InDelta(t, float64(own+calls), float64(g.MeanServiceTime()), float64(5*time.Millisecond))
	must.InDelta(t, float64(own*5/2+calls), float64(times.slowed(times.average(), 2.5)), float64(10*time.Millisecond))
}

// A request is refused while the host has a slowdown if its entry node can reroute it, and is
// served if rerouting would gain less than the round trip costs.
func TestRequestIsReroutedFromASlowHost(t *testing.T) {
	g := New()
	g.Update(Limits{Slots: 4, Connections: 4, QueueLength: 4}, start)
	long, short := model.WorkOf(model.KindInteractive), model.WorkOf(model.KindNonRepeatable)
	for range 64 {
		g.serviceTimes.add(long, 200*time.Millisecond)
		g.serviceTimes.add(short, 5*time.Millisecond)
	}
	enter := func(work model.Work, elsewhere bool) outcome.Reason {
		r := Request{Work: work, Deadline: start.Add(time.Hour), Due: start.Add(time.Minute), Reroutable: elsewhere}
		reason := g.Enter(t.Context(), r, func() time.Time { return start })
		if reason == "" {
			g.Release(work, 0, start)
		}
		return reason
	}
	g.ReportSlowness(0.7, start)
	must.Eq(t, "", enter(long, true), must.Sprint("no slowdown"))
	g.ReportSlowness(2.5*0.7, start)
	must.Eq(t, outcome.ReasonHostSlow, enter(long, true))
	must.Eq(t, "", enter(long, false), must.Sprint("no other backend server"))
	must.Eq(t, "", enter(short, true))
	must.Eq(t, "", enter(model.WorkOf(model.KindBulk), true), must.Sprint("no service times yet"))
}
