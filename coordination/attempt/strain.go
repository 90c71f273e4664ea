package attempt

import (
	"math"
	"time"
)

// BudgetUsage is the fraction of one host's share of a called service's retry budget that
// is in use, by nested calls of retries and by retries of its requests. The hosts of the
// calling service report it in their responses. The nodes that send to that service limit
// their retries by it, so that they retry no more than the services called can sustain.
type BudgetUsage float64

const (
	// usageHigh is the average usage from which retries to a service are confined to the
	// Safety fraction of its budget.
	usageHigh = 0.7
	// usageHighWindows is the number of windows for which that limit stays in force after
	// the usage was last high. Without this hysteresis a pause in the retries would end in
	// a burst.
	usageHighWindows = 1
	// usageFull is the average usage from which no retries are sent to a service: the
	// budget of a service that it calls is exhausted.
	usageFull = 0.85
	// usageNoise is the fraction of a service's budget below which nested calls of retries
	// are ignored: a few requests are taken for such calls by chance.
	usageNoise = 0.2
	// usageSmoothing is the smoothing factor of the moving average of the usage that a
	// service's hosts report. One host counts only a few calls, so several reports are
	// averaged.
	usageSmoothing = 0.1
)

// Percent returns the usage in percent, rounded up.
func (u BudgetUsage) Percent() int { return int(math.Ceil(100 * float64(u))) }

// BudgetUsageOf returns the usage for a number of percent.
func BudgetUsageOf(percent int) BudgetUsage { return BudgetUsage(float64(percent) / 100) }

// CalledUsage returns the highest usage among the services to which retries on this host
// make nested calls; 0 if there are none.
func (b *Budget) CalledUsage(now time.Time) BudgetUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	highest := 0.0
	for name := range b.services {
		w := b.windowAt(now, name)
		nested, budget := sum(w.nestedCalls), b.nodeBudget(w)
		if nested >= usageNoise*budget {
			highest = max(highest, (nested+sum(w.repeats))/budget)
		}
	}
	return BudgetUsage(highest)
}

// ObserveUsage records the usage that a host of a service reported in a response.
func (b *Budget) ObserveUsage(now time.Time, service string, u BudgetUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.usage += usageSmoothing * (float64(u) - w.usage)
	if w.usage >= usageHigh {
		w.highUsageAt = now
	}
}
