package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// otherLabel is the label of all organisations above the cap, as organisation and as
// class.
const otherLabel = "other"

type histogramKey struct{ organisation, class string }

type counterKey struct {
	outcome outcome.Outcome
	reason  outcome.Reason
}

// requestMetrics holds the request counters and latency histograms. The lookup of an
// existing one takes no lock.
type requestMetrics struct {
	set              *metrics.Set
	maxOrganisations int64
	organisations    atomic.Int64
	known            sync.Map // organisation with its own label -> struct{}
	histograms       sync.Map // histogramKey -> *metrics.Histogram
	counters         sync.Map // counterKey -> *metrics.Counter
	truncated        *metrics.Counter
	older            *metrics.Counter
}

func newRequestMetrics(set *metrics.Set, maxOrganisations int) *requestMetrics {
	return &requestMetrics{
		set:              set,
		maxOrganisations: int64(maxOrganisations),
		truncated:        set.GetOrCreateCounter("jacinthgate_responses_truncated_total"),
		older:            set.GetOrCreateCounter("jacinthgate_older_requests_total"),
	}
}

// record counts a finished request and its duration. The duration is recorded only for
// requests with a contract and a class.
func (q *requestMetrics) record(m *snapshot.Match, out outcome.Outcome, reason outcome.Reason, d time.Duration) {
	q.counter(counterKey{out, reason}).Inc()
	if m.Contract == nil || m.Class == nil {
		return
	}
	q.histogram(q.label(m.Contract.Organisation), m.Class.Name).Update(d.Seconds())
}

func (q *requestMetrics) counter(k counterKey) *metrics.Counter {
	if c, ok := q.counters.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := q.set.GetOrCreateCounter(`jacinthgate_requests_total{outcome="` + string(k.outcome) + `",reason="` + string(k.reason) + `"}`)
	q.counters.Store(k, c)
	return c
}

// label returns the organisation's label: its name for the first maxOrganisations
// organisations, otherLabel for the rest.
func (q *requestMetrics) label(organisation string) string {
	if _, ok := q.known.Load(organisation); ok {
		return organisation
	}
	if q.organisations.Load() >= q.maxOrganisations {
		return otherLabel
	}
	if _, loaded := q.known.LoadOrStore(organisation, struct{}{}); !loaded {
		q.organisations.Add(1)
	}
	return organisation
}

func (q *requestMetrics) histogram(organisation, class string) *metrics.Histogram {
	if organisation == otherLabel {
		class = otherLabel // each organisation chooses its own class names
	}
	k := histogramKey{organisation, class}
	if h, ok := q.histograms.Load(k); ok {
		return h.(*metrics.Histogram)
	}
	h := q.set.GetOrCreateHistogram(`jacinthgate_request_duration_seconds{organisation="` + organisation + `",class="` + class + `"}`)
	q.histograms.Store(k, h)
	return h
}
