package balance

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// twoZones returns a picker of z1 that has servers in z2 only: "b", "c" and "d".
func twoZones() (*Picker, func(d time.Duration) (Choice, error)) {
	p, s, rs := newPicker(), service(0.5), records(4)
	rs = rs[1:]
	for i := range rs {
		rs[i].Zone = "z2"
	}
	return p, func(d time.Duration) (Choice, error) { return p.Pick(at(d), s, rs, nil) }
}

// While a zone is cut off a request that could only be served there is refused at
// once, but for one trial each 300 ms; before, each waited 150 ms for a connection
// or for its deadline, 336 of a users' recorded day until their callers left.
func TestZoneThatIsCutOffIsNotAsked(t *testing.T) {
	p, pick := twoZones()
	for range 20 {
		c, err := pick(0)
		if err != nil {
			break
		}
		c.Done(at(0), Result{Outcome: Unreachable})
	}
	must.Eq(t, 1, p.Unreachable())
	asked := 0
	for d := range 3 * time.Second / (10 * time.Millisecond) {
		now := d * 10 * time.Millisecond
		c, err := pick(now)
		var none *NoEndpointError
		if errors.As(err, &none) {
			continue
		}
		asked++
		c.Done(at(now), Result{Outcome: Unreachable})
	}
	must.Between(t, 8, asked, 10)
	// Whoever answers from there opens the way again.
	c, err := pick(4 * time.Second)
	must.NoError(t, err)
	c.Done(at(4*time.Second), Result{Outcome: NotRun, Load: &Load{Used: 1, Slots: 10}})
	must.Eq(t, 0, p.Unreachable())
	for range 10 {
		c, err := pick(4 * time.Second)
		must.NoError(t, err)
		c.Done(at(4*time.Second), Result{Outcome: OK, Load: &Load{Used: 1, Slots: 10}})
	}
}

// A host that is gone doesn't make its zone cut off, nor do failures between
// which others answer.
func TestOneHostIsNoZone(t *testing.T) {
	p := newPicker()
	w := p.zones.of("z2")
	for range 100 {
		w.missed(&p.cfg, "b", 0)
	}
	must.Eq(t, 0, p.Unreachable())
	for i := range 100 {
		w.missed(&p.cfg, model.NodeID(rune('b'+i%3)), 0)
		if i%3 == 2 {
			w.reached()
		}
	}
	must.Eq(t, 0, p.Unreachable())
}
