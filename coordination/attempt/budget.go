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
	// Alone is the part that a service may use while hardly any other one's requests
	// are repeated: there are no calls of repeated runs then that need the rest. It is
	// not below Safety.
	Alone float64
	// Lot is a random number below 1 that decides how the node's part is rounded. Parts in a
	// large fleet are a few repeats each; rounding all of them down would leave much of the
	// bound unused.
	Lot float64
}

// DefaultSafety is the part of the bound that each service's own repeats may
// use. Calls that a repeated request makes count as repeats at the service
// called. That one has at least as many requests as it is called, so its own
// repeats and those of its callers together keep to the bound with a half; the
// rest is for windows that are not aligned.
const DefaultSafety = 0.45

// runCalls is how many calls to one service a repeated run is taken to make.
const runCalls = 1

// windowParts is the number of parts of a window that are counted apart.
const windowParts = 10

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
	requests, repeats [windowParts]float64
	called            [windowParts]float64 // calls of repeated runs, which are among the requests
	slice             int64                // number of the newest slice
	short             time.Time            // when a repeat was last denied
	strain            float64              // what the hosts of the service told lately; see Strain
	strained          time.Time            // when that was last strainHigh or more
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
	w.requests[w.slice%windowParts]++
}

// Called counts a call that a repeated run on this host makes. It counts as a repeat at
// the service called.
func (b *Budget) Called(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.slice%windowParts]++
	w.called[w.slice%windowParts]++
}

// Repeat reports whether one more repeat may be sent, and counts it.
func (b *Budget) Repeat(now time.Time, service string, g Gain) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.repeat(now, service, g)
}

// repeat is Repeat with b.mu held.
func (b *Budget) repeat(now time.Time, service string, g Gain) bool {
	w := b.at(now, service)
	if sum(w.repeats)+1 > b.part(g)*b.bound(now, service, w)+b.cfg.Lot {
		w.short = now
		return false
	}
	w.repeats[w.slice%windowParts]++
	return true
}

// bound returns how many repeats of a service's requests this node may send in a window.
func (b *Budget) bound(now time.Time, service string, w *window) float64 {
	whole := b.whole(w)
	others := 0.0
	for name := range b.services {
		if name != service {
			others += sum(b.at(now, name).repeats)
		}
	}
	switch {
	case w.strain >= strainFull:
		return 0
	case now.Sub(w.strained) < strainWindows*b.cfg.Window:
		return b.cfg.Safety * whole
	}
	return max(b.cfg.Safety*whole, b.cfg.Alone*whole-runCalls*others-sum(w.called))
}

// whole returns this node's part of the fleet's bound.
func (b *Budget) whole(w *window) float64 {
	return b.cfg.Ratio*sum(w.requests) + b.cfg.Slack/float64(b.nodes)
}

// sum adds up what a window counts.
func sum(counts [windowParts]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// shortFor is how long after a repeat was denied a service counts as short of them:
// where a service fails, a node that calls it twice a second is denied one in this time.
const shortFor = 2 * time.Second

// RepeatFailed is Repeat for a request that a backend server has run and answered with
// a failure of its own. That may be the failure of a call: while any other service is
// short of repeats there is none. Its calls would be made once more, each a repeat at
// the service called; and as it is just the requests with calls that fail, a service
// that is called by some of them would get more than its bound
// (TestFleetKeepsItsBoundWhereOnlyThoseThatCallAreRunAgain).
func (b *Budget) RepeatFailed(now time.Time, service string, g Gain) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, w := range b.services {
		if name != service && now.Sub(w.short) < shortFor {
			return false
		}
	}
	return b.repeat(now, service, g)
}

// at returns a service's window with the windowParts before now - Window cleared.
func (b *Budget) at(now time.Time, service string) *window {
	w := b.services[service]
	slice := now.UnixNano() / int64(b.cfg.Window/windowParts)
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for passed := 0; w.slice < slice && passed < windowParts; passed++ {
		w.slice++
		w.requests[w.slice%windowParts], w.repeats[w.slice%windowParts], w.called[w.slice%windowParts] = 0, 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
