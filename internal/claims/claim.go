package claims

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/coordination/core"
)

// Claim is the claim of one request on its Idempotency-Key. The entry proxy
// uses it to send the request and to record its outcome. It is safe for
// concurrent use.
type Claim struct {
	keeper  *Keeper
	key     string
	verdict chan Verdict

	mu      sync.Mutex
	machine *claim.Machine
}

// Dispatch reports whether the request may be sent. It must be called right
// before each send to a backend server. When it returns false the request must
// not be sent: the claim has ended or the node was paused for too long.
func (c *Claim) Dispatch() bool {
	for _, a := range c.step(claim.Dispatch{}) {
		if _, ok := a.(claim.Send); ok {
			return true
		}
	}
	return false
}

// Done stores the backend server's complete response for replay to retries. It
// does not wait for the write: the caller gets its response even if the write
// fails.
func (c *Claim) Done(answer claim.Answer) { c.background(claim.Answered{Answer: answer}) }

// NotRun releases the key. It may be called only when nothing was sent or when
// it is certain that no backend server ran the request.
func (c *Claim) NotRun() { c.background(claim.NotRun{}) }

// Unknown leaves the key claimed: the request may have run, so no retry may
// run.
func (c *Claim) Unknown() { c.step(claim.OutcomeLost{}) }

func (c *Claim) step(ev core.Event) []core.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Step(time.Now(), ev)
}

// background starts drive with ev in a goroutine that Keeper.Close waits for.
func (c *Claim) background(ev core.Event) {
	c.keeper.background.Go(func() { c.drive(ev) })
}

// drive steps the state machine from ev on and executes its actions, until no
// action returns a further event.
func (c *Claim) drive(ev core.Event) {
	for ev != nil {
		next := core.Event(nil)
		for _, a := range c.step(ev) {
			if e := c.execute(a); e != nil {
				next = e
			}
		}
		ev = next
	}
}

// execute executes one action of the state machine and returns the event that
// results, or nil.
func (c *Claim) execute(a core.Action) core.Event {
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

// retry waits for the delay, with jitter, and returns the Retry event. It
// returns nil, and counts the claim as stuck, when all MaxBackground slots are
// taken or Close ends the retries.
func (c *Claim) retry(after time.Duration) core.Event {
	select {
	case c.keeper.retrySlots <- struct{}{}:
	default:
		c.keeper.stats.Stuck.Add(1)
		return nil
	}
	defer func() { <-c.keeper.retrySlots }()
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

// await returns the verdict, and cancels the claim if ctx ends first.
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
	return <-c.verdict // the verdict preceded the cancellation
}
