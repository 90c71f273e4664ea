package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// Claim is one request that holds its key. It is safe for concurrent use.
type Claim struct {
	keeper  *Keeper
	key     string
	verdict chan Verdict

	mu      sync.Mutex
	machine *claim.Machine
}

// Dispatch must be called right before each send to a backend server. When it
// returns false the request must not be sent: the claim is over or the node
// was paused for too long.
func (c *Claim) Dispatch() bool {
	for _, a := range c.step(claim.Dispatch{}) {
		if _, ok := a.(claim.Send); ok {
			return true
		}
	}
	return false
}

// Done keeps the backend server's whole answer for repeats. It does not wait
// for the write; the caller gets its answer in any case.
func (c *Claim) Done(answer claim.Answer) { c.background(claim.Answered{Answer: answer}) }

// NotRun gives the key back. It may be called only when it is certain that no
// send of this request ran, or when nothing was sent.
func (c *Claim) NotRun() { c.background(claim.NotRun{}) }

// Unknown leaves the key claimed: the request may have run, so no repeat may.
func (c *Claim) Unknown() { c.step(claim.OutcomeLost{}) }

func (c *Claim) step(ev core.Event) []core.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Step(time.Now(), ev)
}

// background drives the machine from ev until it waits for the entry proxy or
// ends.
func (c *Claim) background(ev core.Event) {
	c.keeper.work.Go(func() { c.drive(ev) })
}

func (c *Claim) drive(ev core.Event) {
	for ev != nil {
		next := core.Event(nil)
		for _, a := range c.step(ev) {
			if e := c.carryOut(a); e != nil {
				next = e
			}
		}
		ev = next
	}
}

// carryOut carries out one action and returns the event that follows, if any.
func (c *Claim) carryOut(a core.Action) core.Event {
	switch a := a.(type) {
	case claim.Write, claim.Read:
		return c.keeper.perform(c.key, a)
	case claim.RetryLater:
		return c.retry(a.After)
	case claim.GiveUp:
		c.keeper.stats.Stuck.Add(1)
	case claim.Proceed:
		c.verdict <- Verdict{Kind: Proceed}
	case claim.Replay:
		c.verdict <- Verdict{Kind: Replay, Answer: a.Answer}
	case claim.Refuse:
		c.verdict <- Verdict{Kind: Refuse, Refusal: a}
	}
	return nil
}

// retry waits with one of the bounded background slots.
func (c *Claim) retry(after time.Duration) core.Event {
	select {
	case c.keeper.slots <- struct{}{}:
	default:
		c.keeper.stats.Stuck.Add(1)
		return nil
	}
	defer func() { <-c.keeper.slots }()
	t := time.NewTimer(jitter(after))
	defer t.Stop()
	select {
	case <-t.C:
		return claim.Retry{}
	case <-c.keeper.closing:
		c.keeper.stats.Stuck.Add(1)
		return nil
	}
}

// await waits for the verdict, or gives the claim up when ctx ends.
func (c *Claim) await(ctx context.Context) Verdict {
	select {
	case v := <-c.verdict:
		return v
	case <-ctx.Done():
	}
	for _, a := range c.step(claim.Cancelled{}) {
		if r, ok := a.(claim.Refuse); ok {
			return Verdict{Kind: Refuse, Refusal: r}
		}
	}
	return <-c.verdict // the verdict came first
}
