// Package attempt decides whether a request that got no answer is sent again, and keeps
// the retries of all nodes together within the fleet's retry budget.
//
// In identifiers, a retry that reaches a further backend server is a repeat, and one
// execution of a request by a backend server is a run. The calls to other services that a
// backend server makes during a run are its nested calls. Those of a repeat count as
// repeats at the services called.
package attempt

import (
	"sync"
	"time"
)

// BudgetConfig sets the size of a retry budget and how much of it is used.
type BudgetConfig struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries per window that the whole fleet may send in addition
	// to those that Ratio allows.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
	// Safety is the fraction of the budget that a service's own retries may use, 0 to 1. It
	// is below 1 because the windows of different nodes are not aligned.
	Safety float64
	// Alone replaces Safety while hardly any requests for other services are retried:
	// there are then no nested calls of retries that need the rest of the budget. It is
	// not below Safety.
	Alone float64
	// Draw is a random number in [0, 1) that decides whether the node's share of the budget
	// is rounded up or down. In a large fleet a share is a few retries; rounding all of
	// them down would leave much of the budget unused.
	Draw float64
}

// DefaultSafety is the fraction of the budget that each service's own retries may use.
// The nested calls of a retry count as retries at the service called. That service gets
// at least as many requests as there are calls to it, so with a fraction of one half its
// own retries and the nested calls of its callers' retries together stay within its
// budget. The remainder allows for windows that are not aligned.
const DefaultSafety = 0.45

// callsPerRepeat is the number of nested calls to one service that a retry is assumed to
// make.
const callsPerRepeat = 1

// windowSlices is the number of slices into which a window is divided for counting.
const windowSlices = 10

// Budget is a node's retry budget: it limits the retries that the node sends to each
// service. Each node keeps to its own share, the ratio of its own requests and an equal
// share of the slack, so the fleet stays within the whole budget without exchanging
// messages. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu       sync.Mutex
	nodes    int
	services map[string]*window
}

// window counts one service's requests and retries.
type window struct {
	requests, repeats [windowSlices]float64
	nestedCalls       [windowSlices]float64 // nested calls of retries; they are counted in requests too
	slice             int64                 // number of the newest slice
	deniedAt          time.Time             // when a retry was last denied
	usage             float64               // moving average of what the service's hosts report; see ObserveUsage
	highUsageAt       time.Time             // when usage was last usageHigh or more
}

// NewBudget returns a budget for a fleet of one node.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, nodes: 1, services: make(map[string]*window)}
}

// SetNodes sets the number of nodes that share the slack.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// SetConfig replaces the configuration. The counts are kept unless the window changes.
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
	w := b.windowAt(now, service)
	w.requests[w.slice%windowSlices]++
}

// NestedCall counts a request for a service that is a nested call of a retry running on
// this host. It counts both as a request and as a retry.
func (b *Budget) NestedCall(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.requests[w.slice%windowSlices]++
	w.nestedCalls[w.slice%windowSlices]++
}

// Repeat reports whether one more retry may be sent to the service, and counts it if so.
func (b *Budget) Repeat(now time.Time, service string, g Gain) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.repeat(now, service, g)
}

// repeat is Repeat with b.mu held.
func (b *Budget) repeat(now time.Time, service string, g Gain) bool {
	w := b.windowAt(now, service)
	if sum(w.repeats)+1 > b.gainShare(g)*b.usableBudget(now, service, w)+b.cfg.Draw {
		w.deniedAt = now
		return false
	}
	w.repeats[w.slice%windowSlices]++
	return true
}

// usableBudget returns how many retries per window this node may send to a service.
func (b *Budget) usableBudget(now time.Time, service string, w *window) float64 {
	budget := b.nodeBudget(w)
	otherRepeats := 0.0
	for name := range b.services {
		if name != service {
			otherRepeats += sum(b.windowAt(now, name).repeats)
		}
	}
	switch {
	case w.usage >= usageFull:
		return 0
	case now.Sub(w.highUsageAt) < usageHighWindows*b.cfg.Window:
		return b.cfg.Safety * budget
	}
	return max(b.cfg.Safety*budget, b.cfg.Alone*budget-callsPerRepeat*otherRepeats-sum(w.nestedCalls))
}

// nodeBudget returns this node's share of the fleet's budget, in retries per window.
func (b *Budget) nodeBudget(w *window) float64 {
	return b.cfg.Ratio*sum(w.requests) + b.cfg.Slack/float64(b.nodes)
}

// sum returns the sum of a window's slices.
func sum(counts [windowSlices]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// exhaustedFor is how long a service's budget counts as exhausted after a retry was
// denied. A node that calls a failing service twice a second has at least one retry
// denied in this time.
const exhaustedFor = 2 * time.Second

// RepeatAfterFailure is Repeat for a request that a backend server has run and answered
// with a failure of its own. It denies the retry while the budget of any other service is
// exhausted: the failure may come from a nested call, and the retry would make the nested
// calls again, each of which counts as a retry at the service called. Since only the
// requests with nested calls fail, a service that is called by only some of the requests
// would receive more retries than its budget allows
// (TestFleetStaysWithinBudgetWhenOnlyRequestsWithNestedCallsAreRetried).
func (b *Budget) RepeatAfterFailure(now time.Time, service string, g Gain) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, w := range b.services {
		if name != service && now.Sub(w.deniedAt) < exhaustedFor {
			return false
		}
	}
	return b.repeat(now, service, g)
}

// windowAt returns a service's window, moved forward to now: slices older than
// BudgetConfig.Window are cleared.
func (b *Budget) windowAt(now time.Time, service string) *window {
	w := b.services[service]
	slice := now.UnixNano() / int64(b.cfg.Window/windowSlices)
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for passed := 0; w.slice < slice && passed < windowSlices; passed++ {
		w.slice++
		w.requests[w.slice%windowSlices], w.repeats[w.slice%windowSlices], w.nestedCalls[w.slice%windowSlices] = 0, 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
