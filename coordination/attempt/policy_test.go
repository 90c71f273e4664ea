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
		"refused by a gate":                    {Progress{Attempts: 1, Sends: 1, Left: time.Second, Last: outcome.NotRun}, Resend},
		"refused by the backend server":        {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.NotRun}, Repeat},
		"refused, no attempt left":             {Progress{Attempts: 1, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.NotRun}, Stop},
		"unknown, may run again":               {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.Unknown, Repeatable: true}, Repeat},
		"unknown, may not run again":           {Progress{Attempts: 2, Sends: 1, Reached: 1, Left: time.Second, Last: outcome.Unknown}, Stop},
		"unknown before any server, may not":   {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.Unknown}, Stop},
		"out of time":                          {Progress{Attempts: 2, Sends: 1, Left: time.Millisecond, Last: outcome.NotRun}, Stop},
		"too many gates asked":                 {Progress{Attempts: 9, Sends: p.MaxSends, Left: time.Second, Last: outcome.NotRun}, Stop},
		"nobody left to ask":                   {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.NotRun, Exhausted: true}, Stop},
		"may not run again, certainly not run": {Progress{Attempts: 2, Sends: 1, Left: time.Second, Last: outcome.NotRun}, Resend},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, p.Next(tc.g)) })
	}
}

// A refusal is told as such only where no attempt may have run, and the reason is
// that of the outcome that tells most.
func TestTrailTellsTheWorst(t *testing.T) {
	trail := NewTrail(true, 2)
	trail.NobodyLeft()
	o, reason := trail.Worst()
	must.Eq(t, outcome.NotRun, o)
	must.Eq(t, outcome.ReasonNoEndpoint, reason)

	trail = NewTrail(true, 2)
	trail.Note(outcome.NotRun, outcome.ReasonQueueFull)
	trail.Note(outcome.Unknown, outcome.ReasonBackendFailed)
	trail.Note(outcome.NotRun, outcome.ReasonQueueFull)
	trail.NobodyLeft()
	o, reason = trail.Worst()
	must.Eq(t, outcome.Unknown, o)
	must.Eq(t, outcome.ReasonBackendFailed, reason)
	must.Eq(t, Stop, DefaultPolicy().Next(trail.Progress))
}
