package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// otherLabel stands for all customers above the cap, and for requests without
// a contract.
const otherLabel = "other"

type histogramKey struct{ customer, class string }

type counterKey struct {
	outcome outcome.Outcome
	reason  outcome.Reason
}

// requestMetrics holds the metrics of requests. Reading them takes no lock.
type requestMetrics struct {
	set          *metrics.Set
	maxCustomers int64
	customers    atomic.Int64
	known        sync.Map // customer -> struct{}
	histograms   sync.Map // histogramKey -> *metrics.Histogram
	counters     sync.Map // counterKey -> *metrics.Counter
	truncated    *metrics.Counter
	older        *metrics.Counter
}

func newRequestMetrics(set *metrics.Set, maxCustomers int) *requestMetrics {
	return &requestMetrics{
		set:          set,
		maxCustomers: int64(maxCustomers),
		truncated:    set.GetOrCreateCounter("jacinthgate_responses_truncated_total"),
		older:        set.GetOrCreateCounter("jacinthgate_older_requests_total"),
	}
}

// record counts one finished request.
func (q *requestMetrics) record(m *snapshot.Match, out outcome.Outcome, reason outcome.Reason, d time.Duration) {
	q.counter(counterKey{out, reason}).Inc()
	if m.Contract == nil || m.Class == nil {
		return
	}
	q.histogram(q.label(m.Contract.Customer), m.Class.Name).Update(d.Seconds())
}

func (q *requestMetrics) counter(k counterKey) *metrics.Counter {
	if c, ok := q.counters.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := q.set.GetOrCreateCounter(`jacinthgate_requests_total{outcome="` + string(k.outcome) + `",reason="` + string(k.reason) + `"}`)
	q.counters.Store(k, c)
	return c
}

// label returns the customer's label: its name for the first customers seen,
// otherLabel for the rest.
func (q *requestMetrics) label(customer string) string {
	if _, ok := q.known.Load(customer); ok {
		return customer
	}
	if q.customers.Load() >= q.maxCustomers {
		return otherLabel
	}
	if _, loaded := q.known.LoadOrStore(customer, struct{}{}); !loaded {
		q.customers.Add(1)
	}
	return customer
}

func (q *requestMetrics) histogram(customer, class string) *metrics.Histogram {
	if customer == otherLabel {
		class = otherLabel // class names are the customers' own
	}
	k := histogramKey{customer, class}
	if h, ok := q.histograms.Load(k); ok {
		return h.(*metrics.Histogram)
	}
	h := q.set.GetOrCreateHistogram(`jacinthgate_request_duration_seconds{customer="` + customer + `",class="` + class + `"}`)
	q.histograms.Store(k, h)
	return h
}
