package control

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// attempt is one send of a change, run by its own state machine.
type attempt struct {
	change  accept.Change
	machine *accept.Machine
	pending core.Action
	end     *accept.Finish
	crashed bool
}

func (a *attempt) active() bool { return a.end == nil && !a.crashed }

// commit records which attempt of which change led to an accepted version.
type commit struct {
	by *attempt
	id string
}

// world is a simulation that runs attempts step by step, interleaved in random
// order and with random faults.
type world struct {
	rt        *rapid.T
	now       time.Time
	accepter  *Accepter
	collector *Collector
	attempts  []*attempt
	delayed   []func() // writes in flight
	log       map[uint64]commit
	version   uint64
}

func newWorld(rt *rapid.T) *world {
	store := platformtest.New(platformtest.Faults{}, 1)
	cfg := DefaultCollectorConfig()
	cfg.Collect.KeepVersions = 2
	cfg.Collect.MinAge = time.Millisecond
	accepting := testConfig()
	accepting.Accept.Deadline = 60 * time.Millisecond // a few failures are enough to exceed it
	accepting.Accept.RetryMax = accepting.Accept.RetryMin
	w := &world{
		rt:        rt,
		now:       time.Unix(1e9, 0),
		accepter:  NewAccepter(accepting, store.Table(), store.Objects()),
		collector: NewCollector(cfg, store.Table(), store.Objects()),
		log:       make(map[uint64]commit),
	}
	return w
}

// start sends a change. A resend has the same documents; its base differs only
// when all earlier sends have ended.
func (w *world) start(rt *rapid.T) {
	n := rapid.IntRange(1, 6).Draw(rt, "change")
	id := "change-" + string(rune('0'+n))
	organisation := []string{"clinic", "hall"}[n%2]
	c := accept.Change{
		ID:    id,
		Batch: &model.Batch{Contracts: []*model.Contract{contract(organisation, n)}},
		Base:  map[string]uint64{accept.ContractKey(organisation): 0},
	}
	if rapid.Bool().Draw(rt, "fresh base") {
		c.Base[accept.ContractKey(organisation)] = contractRevision(w.load(), organisation)
	}
	for _, earlier := range w.attempts {
		if earlier.change.ID != id {
			continue
		}
		c.Resend = true
		if earlier.active() {
			c.Base = earlier.change.Base
		}
	}
	held := snapshot.Empty()
	if rapid.Bool().Draw(rt, "held") {
		held = w.load()
	}
	a := &attempt{change: c, machine: accept.New(w.accepter.cfg.Accept, c, held)}
	w.attempts = append(w.attempts, a)
	w.step(a, accept.Start{})
}

// load returns the current version, read in full.
func (w *world) load() *snapshot.Snapshot {
	head, err := w.accepter.Head(context.Background())
	must.NoError(w.rt, err)
	if head.Ref.Version == 0 {
		return snapshot.Empty()
	}
	s, err := w.accepter.LoadVersion(context.Background(), snapshot.Empty(), head)
	must.NoError(w.rt, err)
	return s
}

// step passes an event to the attempt's state machine, which must return
// exactly one action.
func (w *world) step(a *attempt, ev core.Event) {
	w.now = w.now.Add(time.Millisecond)
	acts := a.machine.Step(w.now, ev)
	must.Len(w.rt, 1, acts)
	if end, ok := acts[0].(accept.Finish); ok {
		a.end = &end
		return
	}
	a.pending = acts[0]
}

// pick draws an active attempt, or returns nil when there is none.
func (w *world) pick(rt *rapid.T) *attempt {
	var active []*attempt
	for _, a := range w.attempts {
		if a.active() {
			active = append(active, a)
		}
	}
	if len(active) == 0 {
		return nil
	}
	return rapid.SampledFrom(active).Draw(rt, "attempt")
}

// run performs some actions of one attempt; the last may be given a fault.
func (w *world) run(rt *rapid.T) {
	a := w.pick(rt)
	if a == nil {
		return
	}
	fault := rapid.SampledFrom([]string{"", "failed", "answer lost", "request lost", "delayed"}).Draw(rt, "fault")
	for range rapid.IntRange(0, 5).Draw(rt, "before") {
		if _, write := a.pending.(accept.WriteHead); a.active() && !write {
			w.perform(a, "")
		}
	}
	if a.active() {
		w.perform(a, fault)
	}
}

// perform carries out the pending action of an attempt with a fault, or without
// one if fault is empty.
func (w *world) perform(a *attempt, fault string) {
	act := a.pending
	if wait, ok := act.(accept.Wait); ok {
		if wait.Until.After(w.now) {
			w.now = wait.Until
		}
		w.step(a, core.Tick{})
		return
	}
	cause := &LoadError{}
	switch fault {
	case "":
		w.step(a, w.effect(a, act))
	case "failed":
		w.step(a, failureEvent(act, accept.Failed, cause))
	case "answer lost":
		w.effect(a, act)
		w.step(a, failureEvent(act, accept.Unknown, cause))
	case "delayed":
		w.delayed = append(w.delayed, func() { w.effect(a, act) })
		fallthrough
	case "request lost":
		w.step(a, failureEvent(act, accept.Unknown, cause))
	}
}

// effect carries out an action on the platform, and checks and records the
// version that it commits, if any.
func (w *world) effect(a *attempt, act core.Action) core.Event {
	before := w.load()
	ev := w.accepter.perform(context.Background(), act)
	if head, err := w.accepter.Head(context.Background()); err == nil && head.Ref.Version != w.version {
		must.Eq(w.rt, w.version+1, head.Ref.Version, must.Sprint("versions must increase by one"))
		must.Eq(w.rt, a.change.ID, head.Recent[0].ChangeID)
		for key, base := range a.change.Base {
			must.Eq(w.rt, contractRevision(before, key[len("contract/"):]), base, must.Sprint("a commit must not overwrite a newer revision"))
		}
		w.version = head.Ref.Version
		w.log[w.version] = commit{by: a, id: a.change.ID}
	}
	return ev
}

// failureEvent returns the event of an action that failed with result r. A
// failed read always has the result Failed, as it certainly had no effect.
func failureEvent(act core.Action, r accept.Result, err error) core.Event {
	switch act.(type) {
	case accept.ReadHead:
		return accept.HeadRead{Result: accept.Failed, Err: err}
	case accept.ReadRecord:
		return accept.RecordRead{Result: accept.Failed, Err: err}
	case accept.LoadBase:
		return accept.BaseLoaded{Err: err}
	case accept.PutObject:
		return accept.ObjectPut{Result: r, Err: err}
	default:
		return accept.HeadWritten{Result: r, Err: err}
	}
}

// stall advances the clock past the deadlines of all attempts.
func (w *world) stall(*rapid.T) { w.now = w.now.Add(w.accepter.cfg.Accept.Deadline) }

// crash stops an active attempt for good.
func (w *world) crash(rt *rapid.T) {
	if a := w.pick(rt); a != nil {
		a.crashed = true
	}
}

// land makes one delayed write take effect.
func (w *world) land(rt *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(rt, "write")
	write := w.delayed[i]
	w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
	write()
}

// sweep runs the collector once.
func (w *world) sweep(*rapid.T) {
	w.now = w.now.Add(time.Millisecond)
	_, err := w.collector.Sweep(context.Background(), w.now)
	must.NoError(w.rt, err)
}

// check verifies the invariants that hold after each step.
func (w *world) check(*rapid.T) {
	s := w.load() // fails unless the head's version is present and complete
	must.Eq(w.rt, w.version, s.Version())
	accepted := make(map[string]uint64)
	for version, t := range w.log {
		must.MapNotContainsKey(w.rt, accepted, t.id, must.Sprint("a change must take effect at most once"))
		accepted[t.id] = version
	}
	for _, a := range w.attempts {
		if a.end != nil {
			w.checkEnd(a, accepted)
		}
	}
}

// checkEnd verifies the outcome that a finished attempt reported.
func (w *world) checkEnd(a *attempt, accepted map[string]uint64) {
	var unknown *accept.UnknownOutcomeError
	var refused *accept.RefusedError
	switch {
	case a.end.Err == nil:
		must.Eq(w.rt, a.end.Accepted.Ref.Version, accepted[a.change.ID], must.Sprint("a change reported as accepted must be accepted as that version"))
	case errors.As(a.end.Err, &unknown):
	case errors.As(a.end.Err, &refused):
		must.False(w.rt, a.change.Resend, must.Sprint("a resend must not be refused: an earlier send may have been accepted"))
		for _, t := range w.log {
			must.True(w.rt, t.by != a, must.Sprint("the attempt was refused, but its change was accepted"))
		}
	default:
		// A conflict or other definite rejection applies to this send and to
		// all earlier ones, as they have ended or have the same base. Later
		// sends may have another base.
		for version, t := range w.log {
			must.False(w.rt, t.id == a.change.ID && !w.after(t.by, a), must.Sprintf("the attempt ended with %v, but its change was accepted as version %d", a.end.Err, version))
		}
	}
}

// after reports whether a was sent after b.
func (w *world) after(a, b *attempt) bool {
	for _, x := range w.attempts {
		if x == a {
			return false
		}
		if x == b {
			return true
		}
	}
	return false
}

func TestRandomOrders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"start": w.start,
			"run":   w.run,
			"run 2": w.run,
			"run 3": w.run,
			"stall": w.stall,
			"crash": w.crash,
			"land":  w.land,
			"sweep": w.sweep,
			"":      w.check,
		})
		// Without further faults, every attempt must finish.
		for _, a := range w.attempts {
			for i := 0; a.active(); i++ {
				must.Less(rt, 100, i)
				w.perform(a, "")
			}
		}
		for len(w.delayed) > 0 {
			w.land(rt)
		}
		w.check(rt)
	})
}
