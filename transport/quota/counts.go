package quota

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxCounted is the number of organisations with counters of their own; the others share
// those of "other".
const maxCounted = 200

// counts are a limiter's metrics.
type counts struct {
	set                              *metrics.Set
	asks, lent, borrowed, evenShares *metrics.Counter

	mu   sync.Mutex
	seen map[string]struct{}
}

// organisationCounts are the metrics of one organisation.
type organisationCounts struct{ admitted, limited *metrics.Counter }

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:        set,
		asks:       set.GetOrCreateCounter("jacinthgate_quota_messages_total"),
		lent:       set.GetOrCreateCounter("jacinthgate_quota_lent_total"),
		borrowed:   set.GetOrCreateCounter("jacinthgate_quota_borrowed_total"),
		evenShares: set.GetOrCreateCounter("jacinthgate_quota_even_share_total"),
		seen:       make(map[string]struct{}),
	}
}

func (c *counts) of(organisation string) organisationCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.seen[organisation]; !known {
		if len(c.seen) >= maxCounted {
			organisation = "other"
		} else {
			c.seen[organisation] = struct{}{}
		}
	}
	return organisationCounts{
		admitted: c.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_quota_admitted_total{organisation=%q}", organisation)),
		limited:  c.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_quota_limited_total{organisation=%q}", organisation)),
	}
}
