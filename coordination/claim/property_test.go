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

// world is one key's item, the backend server's runs and the requests.
type world struct {
	t        *rapid.T
	now      time.Time
	item     claim.Item
	late     []claim.Write // writes that still may land
	attempts []*attempt
	runs     []string
	clean    bool // no kill, lost answer or give-up: the key must not be stuck
}

type attempt struct {
	id       string
	machine  *claim.Machine
	io       core.Action // the outstanding Write, Read or RetryLater
	ready    bool        // the verdict was Proceed
	sent     bool        // leave to send was given and not yet used
	ran      bool
	refused  *claim.Refuse
	replayed *claim.Answer
}

func (w *world) begin() *attempt {
	a := &attempt{id: fmt.Sprint("a", len(w.attempts))}
	a.machine = claim.New(claim.DefaultConfig(), claim.Record{Attempt: a.id})
	w.attempts = append(w.attempts, a)
	w.step(a, claim.Start{})
	return a
}

func (w *world) step(a *attempt, ev core.Event) {
	for _, act := range a.machine.Step(w.now, ev) {
		switch act := act.(type) {
		case claim.Write, claim.Read, claim.RetryLater:
			a.io = act
		case claim.Proceed:
			a.ready = true
		case claim.Send:
			a.sent = true
		case claim.Replay:
			a.replayed = &act.Answer
		case claim.Refuse:
			a.refused = &act
		case claim.GiveUp:
			w.clean = false
		}
	}
}

// land applies a write and reports whether its condition held.
func (w *world) land(wr claim.Write) bool {
	if wr.IfRevision != w.item.Revision {
		return false
	}
	w.item = claim.Item{Revision: w.item.Revision + 1, Record: wr.Record}
	return true
}

// answer lets the outstanding call of a end in the given way.
func (w *world) answer(a *attempt, fate string) {
	io := a.io
	a.io = nil
	switch io := io.(type) {
	case claim.RetryLater:
		w.step(a, claim.Retry{})
	case claim.Read:
		if fate != "ok" {
			w.step(a, claim.LoadFailed{})
			return
		}
		w.step(a, claim.Loaded{Current: w.item})
	case claim.Write:
		w.answerWrite(a, io, fate)
	}
}

func (w *world) answerWrite(a *attempt, wr claim.Write, fate string) {
	switch fate {
	case "ok":
		if w.land(wr) {
			w.step(a, claim.Written{Revision: w.item.Revision})
			return
		}
		w.step(a, claim.Conflict{Current: w.item})
	case "answer lost":
		w.land(wr)
		w.step(a, claim.WriteUnknown{})
	case "late":
		w.late = append(w.late, wr)
		w.step(a, claim.WriteUnknown{})
	default:
		w.step(a, claim.WriteFailed{})
	}
}

// use lets a request that holds its key take one step.
func (w *world) use(a *attempt, how string) {
	w.step(a, claim.Dispatch{})
	if !a.sent {
		w.step(a, claim.NotRun{})
		a.ready = false
		return
	}
	a.sent = false
	if how == "refused, try another" {
		return
	}
	a.ready = false
	if how == "refused" {
		w.step(a, claim.NotRun{})
		return
	}
	a.ran = true
	w.runs = append(w.runs, a.id)
	if how == "lost" {
		w.clean = false
		w.step(a, claim.Lost{})
		return
	}
	w.step(a, claim.Answered{Answer: claim.Answer{Status: 201, Body: []byte(a.id)}})
}

func (w *world) pick(label string, want func(*attempt) bool) *attempt {
	var fit []*attempt
	for _, a := range w.attempts {
		if want(a) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(w.t, label)
}

func (w *world) check() {
	must.True(w.t, len(w.runs) <= 1, must.Sprint("runs: ", w.runs))
	for _, a := range w.attempts {
		if a.refused != nil && a.refused.Outcome == outcome.NotRun {
			must.False(w.t, a.ran, must.Sprint("told not run: ", a.id))
		}
		if a.replayed != nil {
			must.SliceNotEmpty(w.t, w.runs)
			must.Eq(w.t, w.runs[0], string(a.replayed.Body))
		}
	}
}

// heal lets everything that is outstanding end well.
func (w *world) heal() {
	for _, a := range w.attempts {
		for a.io != nil || a.ready {
			if a.io != nil {
				w.answer(a, "ok")
				continue
			}
			w.use(a, "refused")
		}
	}
	for _, wr := range w.late {
		w.land(wr)
	}
	w.late = nil
}

func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1e9, 0), clean: true}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"begin": func(*rapid.T) {
				if len(w.attempts) < 5 {
					w.begin()
				}
			},
			"call ends": func(t *rapid.T) {
				if a := w.pick("caller", func(a *attempt) bool { return a.io != nil }); a != nil {
					w.answer(a, rapid.SampledFrom([]string{"ok", "answer lost", "late", "failed"}).Draw(t, "fate"))
				}
			},
			"late write lands": func(t *rapid.T) {
				if n := len(w.late); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "write")
					w.land(w.late[i])
					w.late = append(w.late[:i], w.late[i+1:]...)
				}
			},
			"use": func(t *rapid.T) {
				if a := w.pick("holder", func(a *attempt) bool { return a.ready }); a != nil {
					w.use(a, rapid.SampledFrom([]string{"answered", "lost", "refused", "refused, try another"}).Draw(t, "how"))
				}
			},
			"cancel": func(t *rapid.T) {
				a := w.pick("cancelled", func(a *attempt) bool { return a.io != nil })
				if a != nil && rapid.IntRange(0, 2).Draw(t, "rare") == 0 {
					w.step(a, claim.Cancelled{})
				}
			},
			"kill": func(t *rapid.T) {
				a := w.pick("killed", func(a *attempt) bool { return a.io != nil || a.ready })
				if a == nil || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					return
				}
				if wr, ok := a.io.(claim.Write); ok {
					w.late = append(w.late, wr)
				}
				a.io, a.ready, w.clean = nil, false, false
			},
			"pause": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "pause"))
			},
		})
		w.heal()
		w.check()
		last := w.begin()
		for last.io != nil {
			w.answer(last, "ok")
		}
		if w.clean {
			must.Eq(t, len(w.runs) == 0, last.ready, must.Sprint("the key is stuck"))
			must.Eq(t, len(w.runs) == 1, last.replayed != nil)
		}
		if last.ready {
			w.use(last, "answered")
		}
		w.check()
	})
}
