package claim_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

var (
	start   = time.Unix(1e9, 0)
	booking = claim.Fingerprint{Method: "POST", Target: "/rooms/7", BodyHash: []byte("b")}
)

// other returns the item of another request with the same key, after change,
// if any, has altered its record.
func other(state claim.State, change func(*claim.Record)) claim.Item {
	r := claim.Record{State: state, Attempt: "other", Fingerprint: booking, Started: start.UnixMilli()}
	if change != nil {
		change(&r)
	}
	return claim.Item{Revision: 4, Record: r}
}

// TestCallerResponse checks the response to the caller for each result of its
// claim, and for each point at which the claim can fail.
func TestCallerResponse(t *testing.T) {
	cfg := claim.DefaultConfig()
	answer := claim.Answer{Status: 201, Body: []byte("booked")}
	done := other(claim.StateDone, func(r *claim.Record) { r.Answer = &answer })
	notKept := other(claim.StateDone, func(r *claim.Record) { r.Answer = &claim.Answer{Status: 201, NotKept: true} })
	otherRequest := other(claim.StateDone, func(r *claim.Record) { r.Fingerprint.Target = "/rooms/8" })
	old := other(claim.StateClaimed, func(r *claim.Record) { r.Started -= time.Hour.Milliseconds() })
	unavailable := claim.Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonPlatform, RetryAfter: cfg.PlatformRetryAfter}
	inProgress := claim.Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonInProgress, RetryAfter: cfg.InProgressRetryAfter}
	lost := claim.Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonOutcomeLost}
	cases := []struct {
		name   string
		events []core.Event
		want   core.Action
	}{
		{"claimed", []core.Event{claim.Written{Revision: 1}}, claim.Proceed{}},
		{"platform unavailable", []core.Event{claim.WriteFailed{}}, unavailable},
		{"write unknown, own claim read", []core.Event{claim.WriteUnknown{}, claim.Loaded{Current: claim.Item{
			Revision: 1, Record: claim.Record{State: claim.StateClaimed, Attempt: "own"}}}}, claim.Proceed{}},
		{"write unknown, read fails", []core.Event{claim.WriteUnknown{}, claim.LoadFailed{}}, unavailable},
		{"first request in progress", []core.Event{claim.Conflict{Current: other(claim.StateClaimed, nil)}}, inProgress},
		{"write unknown, first request in progress", []core.Event{claim.WriteUnknown{},
			claim.Loaded{Current: other(claim.StateClaimed, nil)}}, inProgress},
		{"claim older than RunLimit", []core.Event{claim.Conflict{Current: old}}, lost},
		{"response kept", []core.Event{claim.Conflict{Current: done}}, claim.Replay{Answer: answer}},
		{"response too large to keep", []core.Event{claim.Conflict{Current: notKept}},
			claim.Refuse{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerNotKept}},
		{"key of another request", []core.Event{claim.Conflict{Current: otherRequest}},
			claim.Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonKeyReused}},
		{"corrupt", []core.Event{claim.Conflict{Current: claim.Item{Revision: 2, Corrupt: true}}}, lost},
		{"deadline", []core.Event{claim.Cancelled{}}, claim.Refuse{
			Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, RetryAfter: cfg.InProgressRetryAfter}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := claim.New(cfg, claim.Record{Attempt: "own", Fingerprint: booking})
			m.Step(start, claim.Start{})
			var got []core.Action
			for _, ev := range c.events {
				got = m.Step(start, ev)
			}
			must.SliceNotEmpty(t, got)
			must.Eq(t, c.want, got[0])
		})
	}
}

// holder returns the machine of a request that holds its claim.
func holder(t *testing.T) *claim.Machine {
	m := claim.New(claim.DefaultConfig(), claim.Record{Attempt: "own"})
	m.Step(start, claim.Start{})
	must.Eq(t, []core.Action{claim.Proceed{}}, m.Step(start, claim.Written{Revision: 1}))
	return m
}

// TestPausedOwner resumes the owner of a claim after RetainFor, when its record
// may have been deleted: it must neither send nor write any more.
func TestPausedOwner(t *testing.T) {
	cfg := claim.DefaultConfig()
	m := holder(t)
	must.Eq(t, []core.Action{claim.Send{}}, m.Step(start.Add(cfg.DispatchWithin), claim.Dispatch{}))
	resumed := start.Add(cfg.RetainFor)
	got := m.Step(resumed, claim.Dispatch{})
	must.Eq(t, []core.Action{claim.Refuse{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline}}, got)
	must.Eq(t, []core.Action{claim.GiveUp{}}, m.Step(resumed, claim.NotRun{}))
	must.True(t, m.Ended())
}

// TestNoSendAfterEnd checks that no send is permitted after any end of a
// request, and that the claim is not released then.
func TestNoSendAfterEnd(t *testing.T) {
	for _, end := range []core.Event{claim.NotRun{}, claim.Answered{}, claim.OutcomeLost{}} {
		m := holder(t)
		m.Step(start, end)
		_, refused := m.Step(start, claim.Dispatch{})[0].(claim.Refuse)
		must.True(t, refused, must.Sprintf("after %T", end))
		must.Nil(t, m.Step(start, claim.NotRun{}), must.Sprintf("release after %T", end))
	}
}

func TestTrim(t *testing.T) {
	small := claim.Answer{Status: 200, Body: make([]byte, claim.MaxBody)}
	must.Eq(t, small, small.Trim())
	large := claim.Answer{Status: 200, Body: make([]byte, claim.MaxBody+1)}
	must.Eq(t, claim.Answer{Status: 200, NotKept: true}, large.Trim())
	header := claim.Answer{Status: 200, Header: []claim.Field{{Name: "X", Value: string(make([]byte, claim.MaxHeader))}}}
	must.Eq(t, claim.Answer{Status: 200, NotKept: true}, header.Trim())
}

func TestRecordCodec(t *testing.T) {
	want := other(claim.StateDone, func(r *claim.Record) { r.Answer = &claim.Answer{Status: 201, Body: []byte("x")} }).Record
	value, err := want.Encode()
	must.NoError(t, err)
	got, err := claim.Decode(value)
	must.NoError(t, err)
	must.Eq(t, want, got)
	_, err = claim.Decode([]byte("?"))
	var decodeErr *claim.DecodeError
	must.True(t, errors.As(err, &decodeErr))
	must.NotEq(t, claim.ItemKey("a", "k1"), claim.ItemKey("a", "k2"))
	must.NotEq(t, claim.ItemKey("a", "k1"), claim.ItemKey("b", "k1"))
}
