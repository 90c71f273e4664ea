package quota

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxOrganisationCounters is the number of organisations that have counters of their own. All
// further ones are counted together as "other", which bounds the number of metrics.
const maxOrganisationCounters = 200

// counters are the metrics of a Limiter.
type counters struct {
	set                                  *metrics.Set
	messages, lent, borrowed, evenShares *metrics.Counter

	mu   sync.Mutex
	seen map[string]struct{} // the organisations with counters of their own
}

// organisationCounters count the admitted and refused requests of one organisation.
type organisationCounters struct{ admitted, limited *metrics.Counter }

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:        set,
		messages:   set.GetOrCreateCounter("jacinthgate_quota_messages_total"),
		lent:       set.GetOrCreateCounter("jacinthgate_quota_lent_total"),
		borrowed:   set.GetOrCreateCounter("jacinthgate_quota_borrowed_total"),
		evenShares: set.GetOrCreateCounter("jacinthgate_quota_even_share_total"),
		seen:       make(map[string]struct{}),
	}
}

// forOrganisation returns the counters of an organisation, or those of "other" if there are
// already maxOrganisationCounters.
func (c *counters) forOrganisation(organisation string) organisationCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, counted := c.seen[organisation]; !counted {
		if len(c.seen) >= maxOrganisationCounters {
			organisation = "other"
		} else {
			c.seen[organisation] = struct{}{}
		}
	}
	return organisationCounters{
		admitted: c.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_quota_admitted_total{organisation=%q}", organisation)),
		limited:  c.set.GetOrCreateCounter(fmt.Sprintf("jacinthgate_quota_limited_total{organisation=%q}", organisation)),
	}
}
