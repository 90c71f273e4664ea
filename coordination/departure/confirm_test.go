package departure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/instance"
)

// heard returns the state after a heartbeat of an instance.
func heard(id string, sequence uint64) *instance.Instance {
	var l instance.Local
	l.RecordHeartbeat(begin, instance.Heartbeat{Start: instance.Start{ID: id}, Sequence: sequence})
	return l.Current()
}

// Guards against late heartbeats that are taken for those of a backend server in service.
func TestHeartbeatsConfirmOnlyIfTheyGoOn(t *testing.T) {
	const interval = simHeartbeat
	for name, c := range map[string]struct {
		at        []time.Duration
		sequences []uint64 // rising by one if nil
		confirmed bool
	}{
		"one":                       {at: []time.Duration{0}},
		"two":                       {at: []time.Duration{0, interval}},
		"three":                     {at: []time.Duration{0, interval, 2 * interval}},
		"four":                      {at: []time.Duration{0, interval, 2 * interval, 3 * interval}, confirmed: true},
		"four and some are early":   {at: []time.Duration{0, interval * 8 / 10, 2 * interval * 8 / 10, 3 * interval * 8 / 10}, confirmed: true},
		"one is lost":               {at: []time.Duration{0, interval, 3 * interval, 4 * interval}, confirmed: true},
		"many together":             {at: []time.Duration{0, 0, 0, 0, 0, 0}},
		"many together and one":     {at: []time.Duration{0, 0, 0, 0, 0, 2 * interval}},
		"a break before the last":   {at: []time.Duration{0, interval, 2 * interval, 9 * interval}},
		"the same heartbeat, again": {at: []time.Duration{0, interval, 2 * interval, 3 * interval}, sequences: []uint64{1, 1, 1, 1}},
		"out of order":              {at: []time.Duration{0, interval, 2 * interval, 3 * interval}, sequences: []uint64{4, 3, 2, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			confirmation := NewConfirmation(interval)
			for i, at := range c.at {
				sequence := uint64(i)
				if c.sequences != nil {
					sequence = c.sequences[i]
				}
				confirmation.Heard(begin.Add(at), heard("a", sequence))
			}
			must.Eq(t, c.confirmed, confirmation.Confirmed("a"))
			must.False(t, confirmation.Confirmed("b"))
		})
	}
}

// Guards against health checks without end, and against ones that prove nothing.
func TestEachHeartbeatAllowsOneHealthCheck(t *testing.T) {
	for name, c := range map[string]struct {
		result           Check
		again, confirmed bool
	}{
		"in service": {InService, false, true},
		"anonymous":  {Anonymous, false, false},
		"unanswered": {Unanswered, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			confirmation := NewConfirmation(simHeartbeat)
			must.False(t, confirmation.CheckDue())
			confirmation.Heard(begin, heard("a", 1))
			must.True(t, confirmation.CheckDue())
			must.False(t, confirmation.CheckDue())
			confirmation.Checked("former", InService)
			must.False(t, confirmation.Confirmed("a"))
			confirmation.Checked("a", c.result)
			must.Eq(t, c.confirmed, confirmation.Confirmed("a"))
			confirmation.Heard(begin.Add(simHeartbeat), heard("a", 2))
			must.Eq(t, c.again, confirmation.CheckDue())
			confirmation.Heard(begin.Add(2*simHeartbeat), heard("next", 1))
			must.True(t, confirmation.CheckDue(), must.Sprint("each instance is checked"))
			must.False(t, confirmation.Confirmed("a"))
		})
	}
}
