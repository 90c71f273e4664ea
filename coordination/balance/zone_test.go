package balance

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// remoteZone returns a picker in z1 with servers in z2 only, "b", "c" and "d", and a function
// that picks one of them at the time d.
func remoteZone() (*Picker, func(d time.Duration) (Choice, error)) {
	p, s, rs := newPicker(), service(0.5), records(4)
	rs = rs[1:]
	for i := range rs {
		rs[i].Zone = "z2"
	}
	return p, func(d time.Duration) (Choice, error) { return p.Pick(at(d), s, rs, nil) }
}

// While a zone is unreachable, a request that could only be served there is refused at once,
// except for one trial every 300 ms. Otherwise each would wait 150 ms for a connection, or
// until its deadline; in one recorded day of a deployment, 336 of them waited until their
// callers gave up.
func TestUnreachableZoneGetsOnlyTrials(t *testing.T) {
	p, pick := remoteZone()
	for range 20 {
		c, err := pick(0)
		if err != nil {
			break
		}
		c.Done(at(0), Result{Outcome: Unreachable})
	}
	must.Eq(t, 1, p.UnreachableZones())
	sent := 0
	for d := range 3 * time.Second / (10 * time.Millisecond) {
		now := d * 10 * time.Millisecond
		c, err := pick(now)
		var none *NoEndpointError
		if errors.As(err, &none) {
			continue
		}
		sent++
		c.Done(at(now), Result{Outcome: Unreachable})
	}
	must.Between(t, 8, sent, 10)
	// Any response of a host of the zone makes it reachable again.
	c, err := pick(4 * time.Second)
	must.NoError(t, err)
	c.Done(at(4*time.Second), Result{Outcome: NotRun, Load: &Load{Used: 1, Slots: 10}})
	must.Eq(t, 0, p.UnreachableZones())
	for range 10 {
		c, err := pick(4 * time.Second)
		must.NoError(t, err)
		c.Done(at(4*time.Second), Result{Outcome: OK, Load: &Load{Used: 1, Slots: 10}})
	}
}

// A zone doesn't become unreachable through a single host that is down, nor through failures
// of several hosts between which others respond.
func TestSingleHostFailureLeavesItsZoneReachable(t *testing.T) {
	p := newPicker()
	zone := p.zones.get("z2")
	for range 100 {
		zone.recordUnreachable(&p.cfg, "b", 0)
	}
	must.Eq(t, 0, p.UnreachableZones())
	for i := range 100 {
		zone.recordUnreachable(&p.cfg, model.NodeID(rune('b'+i%3)), 0)
		if i%3 == 2 {
			zone.recordReached()
		}
	}
	must.Eq(t, 0, p.UnreachableZones())
}
