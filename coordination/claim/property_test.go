package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

// simulation models the item of one key, the requests with this key and their
// runs at the backend server.
type simulation struct {
	t        *rapid.T
	now      time.Time
	item     claim.Item
	delayed  []claim.Write // writes that may still take effect
	attempts []*attempt
	runs     []string // the attempts that ran
	clean    bool     // no kill, lost response or give-up: the key must not stay blocked
}

// attempt is one request with the key.
type attempt struct {
	id       string
	machine  *claim.Machine
	pending  core.Action // the outstanding Write, Read or RetryLater
	ready    bool        // the request holds the claim and has not ended
	sent     bool        // a send was permitted and has not happened yet
	ran      bool
	refused  *claim.Refuse
	replayed *claim.Answer
}

// begin starts a new request.
func (s *simulation) begin() *attempt {
	a := &attempt{id: fmt.Sprint("a", len(s.attempts))}
	a.machine = claim.New(claim.DefaultConfig(), claim.Record{Attempt: a.id})
	s.attempts = append(s.attempts, a)
	s.step(a, claim.Start{})
	return a
}

// step delivers an event to a's machine and records the resulting actions.
func (s *simulation) step(a *attempt, ev core.Event) {
	for _, act := range a.machine.Step(s.now, ev) {
		switch act := act.(type) {
		case claim.Write, claim.Read, claim.RetryLater:
			a.pending = act
		case claim.Proceed:
			a.ready = true
		case claim.Send:
			a.sent = true
		case claim.Replay:
			a.replayed = &act.Answer
		case claim.Refuse:
			a.refused = &act
		case claim.GiveUp:
			s.clean = false
		}
	}
}

// commit applies a write and reports whether its condition held.
func (s *simulation) commit(wr claim.Write) bool {
	if wr.IfRevision != s.item.Revision {
		return false
	}
	s.item = claim.Item{Revision: s.item.Revision + 1, Record: wr.Record}
	return true
}

// complete ends the outstanding call of a with the given result.
func (s *simulation) complete(a *attempt, result string) {
	pending := a.pending
	a.pending = nil
	switch pending := pending.(type) {
	case claim.RetryLater:
		s.step(a, claim.Retry{})
	case claim.Read:
		if result != "ok" {
			s.step(a, claim.LoadFailed{})
			return
		}
		s.step(a, claim.Loaded{Current: s.item})
	case claim.Write:
		s.completeWrite(a, pending, result)
	}
}

func (s *simulation) completeWrite(a *attempt, wr claim.Write, result string) {
	switch result {
	case "ok":
		if s.commit(wr) {
			s.step(a, claim.Written{Revision: s.item.Revision})
			return
		}
		s.step(a, claim.Conflict{Current: s.item})
	case "response lost":
		s.commit(wr)
		s.step(a, claim.WriteUnknown{})
	case "late":
		s.delayed = append(s.delayed, wr)
		s.step(a, claim.WriteUnknown{})
	default:
		s.step(a, claim.WriteFailed{})
	}
}

// send tries one send of a request that holds its claim; result is what the
// backend server does.
func (s *simulation) send(a *attempt, result string) {
	s.step(a, claim.Dispatch{})
	if !a.sent {
		s.step(a, claim.NotRun{})
		a.ready = false
		return
	}
	a.sent = false
	if result == "refused, try another server" {
		return
	}
	a.ready = false
	if result == "refused" {
		s.step(a, claim.NotRun{})
		return
	}
	a.ran = true
	s.runs = append(s.runs, a.id)
	if result == "lost" {
		s.clean = false
		s.step(a, claim.OutcomeLost{})
		return
	}
	s.step(a, claim.Answered{Answer: claim.Answer{Status: 201, Body: []byte(a.id)}})
}

// pick draws one of the matching attempts; it returns nil if there is none.
func (s *simulation) pick(label string, match func(*attempt) bool) *attempt {
	var matching []*attempt
	for _, a := range s.attempts {
		if match(a) {
			matching = append(matching, a)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(s.t, label)
}

// check verifies that at most one attempt ran, that no attempt with the
// outcome not-run ran, and that only the response of the run is replayed.
func (s *simulation) check() {
	must.True(s.t, len(s.runs) <= 1, must.Sprint("runs: ", s.runs))
	for _, a := range s.attempts {
		if a.refused != nil && a.refused.Outcome == outcome.NotRun {
			must.False(s.t, a.ran, must.Sprint("ran despite outcome not-run: ", a.id))
		}
		if a.replayed != nil {
			must.SliceNotEmpty(s.t, s.runs)
			must.Eq(s.t, s.runs[0], string(a.replayed.Body))
		}
	}
}

// settle completes all outstanding calls without failure, ends the requests
// that hold a claim and then applies the delayed writes.
func (s *simulation) settle() {
	for _, a := range s.attempts {
		for a.pending != nil || a.ready {
			if a.pending != nil {
				s.complete(a, "ok")
				continue
			}
			s.send(a, "refused")
		}
	}
	for _, wr := range s.delayed {
		s.commit(wr)
	}
	s.delayed = nil
}

// TestAtMostOneRun runs up to five requests with one key under failed, lost and
// delayed writes, cancellations, kills and pauses. At most one of them may run.
// Without a kill, a lost response or a give-up, a later request gets the claim
// if none ran, and the replayed response if one ran.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(1e9, 0), clean: true}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { s.check() },
			"begin": func(*rapid.T) {
				if len(s.attempts) < 5 {
					s.begin()
				}
			},
			"call ends": func(t *rapid.T) {
				if a := s.pick("caller", func(a *attempt) bool { return a.pending != nil }); a != nil {
					s.complete(a, rapid.SampledFrom([]string{"ok", "response lost", "late", "failed"}).Draw(t, "fate"))
				}
			},
			"late write lands": func(t *rapid.T) {
				if n := len(s.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					s.commit(s.delayed[i])
					s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
				}
			},
			"use": func(t *rapid.T) {
				if a := s.pick("holder", func(a *attempt) bool { return a.ready }); a != nil {
					s.send(a, rapid.SampledFrom([]string{"answered", "lost", "refused", "refused, try another server"}).Draw(t, "how"))
				}
			},
			"cancel": func(t *rapid.T) {
				a := s.pick("cancelled", func(a *attempt) bool { return a.pending != nil })
				if a != nil && rapid.IntRange(0, 2).Draw(t, "rare") == 0 {
					s.step(a, claim.Cancelled{})
				}
			},
			"kill": func(t *rapid.T) {
				a := s.pick("killed", func(a *attempt) bool { return a.pending != nil || a.ready })
				if a == nil || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					return
				}
				if wr, ok := a.pending.(claim.Write); ok {
					s.delayed = append(s.delayed, wr)
				}
				a.pending, a.ready, s.clean = nil, false, false
			},
			"pause": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "pause"))
			},
		})
		s.settle()
		s.check()
		last := s.begin()
		for last.pending != nil {
			s.complete(last, "ok")
		}
		if s.clean {
			must.Eq(t, len(s.runs) == 0, last.ready, must.Sprint("a new request must get the claim exactly when no request ran"))
			must.Eq(t, len(s.runs) == 1, last.replayed != nil)
		}
		if last.ready {
			s.send(last, "answered")
		}
		s.check()
	})
}
