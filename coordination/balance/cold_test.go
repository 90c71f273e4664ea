package balance

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against overloading a cold backend server, which can't yet sustain the load that
// the slots in its record allow. It gets few requests until its gate reports its capacity,
// and its full share once it is warm.
func TestColdServerGetsFewRequests(t *testing.T) {
	p, s, rs := newPicker(), service(0.5), records(4)
	s.SlowStart = 0
	picked := func() int {
		var choices []Choice
		n := 0
		for range 40 {
			c, err := p.Pick(start, s, rs, nil)
			must.NoError(t, err)
			choices = append(choices, c)
			if c.Record.Node == "a" {
				n++
			}
		}
		for _, c := range choices {
			c.Done(start, Result{Outcome: Cancelled})
		}
		return n
	}
	must.Between(t, 8, picked(), 12)
	rs = append(rs[:0:0], rs...)
	rs[0].Cold = true
	must.Between(t, 1, picked(), 4)
	c, ok := p.PickNode(start, s, rs, "a", nil)
	must.True(t, ok)
	c.Done(start, Result{Outcome: OK, Load: &Load{Used: 1, Slots: 2}})
	rs = append(rs[:0:0], rs...)
	rs[0].Cold = false
	p.Pick(start, s, rs, nil)
	must.Eq(t, 0, p.servers[serverKey{"a", 1}].slots.Load(), must.Sprint("slots reported while cold are discarded"))
}
