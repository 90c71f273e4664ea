// Package attempt decides whether a request that got no answer is sent once
// more, and keeps the repeats of all nodes together within the fleet's budget.
package attempt

import (
	"sync"
	"time"
)

// BudgetConfig sets a Budget's bound.
type BudgetConfig struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64
	// Slack is how many repeats the whole fleet may make in a window beyond
	// Ratio.
	Slack float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Safety is the part of the bound that is used, 0 to 1: nodes count by
	// windows that are not aligned.
	Safety float64
}

// DefaultSafety is the part of the bound that each service's own repeats may
// use. Calls that a repeated request makes count as repeats at the service
// called. That one has at least as many requests as it is called, so its own
// repeats and those of its callers together keep to the bound with a half; the
// rest is for windows that are not aligned.
const DefaultSafety = 0.45

// slices is the number of parts of a window that are counted apart.
const slices = 10

// Budget bounds the repeats that this node sends to each service. Each node
// keeps its own part, so that the fleet keeps the whole without any message:
// the ratio of its own requests and an equal part of the slack. It is safe for
// concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	nodes    int
	services map[string]*window
}

// window counts one service's requests and repeats.
type window struct {
	requests, repeats [slices]float64
	slice             int64     // number of the newest slice
	short             time.Time // when a repeat was last denied
}

// NewBudget returns a budget for a fleet of one node.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, nodes: 1, services: make(map[string]*window)}
}

// SetNodes tells how many nodes share the slack.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// SetConfig replaces the bound. The counts are kept unless the window changes.
func (b *Budget) SetConfig(cfg BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.slice%slices]++
}

// Repeat reports whether one more repeat may be sent, and counts it.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.repeat(now, service)
}

// repeat is Repeat with b.mu held.
func (b *Budget) repeat(now time.Time, service string) bool {
	w := b.at(now, service)
	requests, repeats := 0.0, 0.0
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	bound := b.cfg.Safety * (b.cfg.Ratio*requests + b.cfg.Slack/float64(b.nodes))
	if repeats+1 > bound {
		w.short = now
		return false
	}
	w.repeats[w.slice%slices]++
	return true
}

// shortFor is how long after a repeat was denied a service counts as short of them:
// where a service fails, a node that calls it twice a second is denied one in this time.
const shortFor = 2 * time.Second

// RepeatFailed is Repeat for a request that a backend server has run and answered with
// a failure of its own. That may be the failure of a call: while any other service is
// short of repeats there is none. Its calls would be made once more, each a repeat at
// the service called; and as it is just the requests with calls that fail, a service
// with a third of the caller's requests got 1.46 of its bound so
// (TestFleetKeepsItsBoundWhereOnlyThoseThatCallAreRunAgain).
func (b *Budget) RepeatFailed(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, w := range b.services {
		if name != service && now.Sub(w.short) < shortFor {
			return false
		}
	}
	return b.repeat(now, service)
}

// at returns a service's window with the slices before now - Window cleared.
func (b *Budget) at(now time.Time, service string) *window {
	w := b.services[service]
	slice := now.UnixNano() / int64(b.cfg.Window/slices)
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for passed := 0; w.slice < slice && passed < slices; passed++ {
		w.slice++
		w.requests[w.slice%slices], w.repeats[w.slice%slices] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
