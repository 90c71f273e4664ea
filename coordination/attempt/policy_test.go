package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

func TestNext(t *testing.T) {
	p := DefaultPolicy()
	for name, tc := range map[string]struct {
		g    Progress
		want Step
	}{
		"refused by a gate":                          {Progress{Attempts: 1, Sends: 1, Left: time.Second, Last: outcome.NotRun}, Resend},
		"refused by the backend server":              {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.NotRun}, Repeat},
		"refused, all attempts used":                 {Progress{Attempts: 1, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.NotRun}, Stop},
		"unknown, repeatable":                        {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.Unknown, Repeatable: true}, Repeat},
		"unknown, not repeatable":                    {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.Unknown}, Stop},
		"unknown, no server reached, not repeatable": {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.Unknown}, Stop},
		"too little time left":                       {Progress{Attempts: 2, Sends: 1, Left: time.Millisecond, Last: outcome.NotRun}, Stop},
		"sent to the maximum number of gates":        {Progress{Attempts: 9, Sends: p.MaxSends, Left: time.Second, Last: outcome.NotRun}, Stop},
		"no further gate":                            {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.NotRun, Exhausted: true}, Stop},
		"not run, not repeatable":                    {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.NotRun}, Resend},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, p.Next(tc.g)) })
	}
}

// The caller gets the outcome not-run only if no attempt may have run. The reason is that
// of the worst outcome.
func TestTrailReportsTheWorstOutcome(t *testing.T) {
	trail := NewTrail(true, 2)
	trail.Exhaust()
	o, reason := trail.Worst()
	must.Eq(t, outcome.NotRun, o)
	must.Eq(t, outcome.ReasonNoEndpoint, reason)

	trail = NewTrail(true, 2)
	trail.Note(outcome.NotRun, outcome.ReasonQueueFull)
	trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
	trail.Note(outcome.NotRun, outcome.ReasonQueueFull)
	trail.Exhaust()
	o, reason = trail.Worst()
	must.Eq(t, outcome.Unknown, o)
	must.Eq(t, outcome.ReasonBackendFailed, reason)
	must.Eq(t, Stop, DefaultPolicy().Next(trail.Progress))
}
