package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of what a Result keeps.
const (
	// maxExamples bounds the violations kept of each breach.
	maxExamples = 10
	// maxNotRunIDs bounds the ids kept of requests that were told not-run.
	maxNotRunIDs = 200_000
)

// Range and precision of the histograms.
const (
	lowest  = int64(time.Microsecond)
	highest = int64(2 * time.Minute)
	digits  = 3
)

// Result is what a run measured and found.
type Result struct {
	// Run names the run; it is part of each id and key.
	Run string `json:"run"`
	// Elapsed is the length of the run in seconds.
	Elapsed float64 `json:"elapsedSeconds"`
	// Unsent counts arrivals that found too many requests in flight.
	Unsent int `json:"unsent"`
	// LagP99 is the 99th percentile of how late an open loop sent, in
	// microseconds. A large one means that the tool was too slow, and that
	// latencies are not to be trusted.
	LagP99 float64 `json:"lagP99Micros"`
	// Cells hold one arm and class each.
	Cells []Cell `json:"cells"`
	// Violations counts the broken promises.
	Violations map[Breach]int `json:"violations"`
	// Examples are the first violations of each breach.
	Examples []Violation `json:"examples,omitempty"`
	// NotRunIDs are the ids of the requests that were told not-run.
	NotRunIDs []string `json:"notRunIds,omitempty"`
	// NotRunIDsDropped counts further ones that were not kept and so can't be
	// checked.
	NotRunIDsDropped int `json:"notRunIdsDropped,omitempty"`
	// RunsChecked says that the backend servers' runs were compared.
	RunsChecked bool `json:"runsChecked"`
}

// Cell is the result of one class at one arm.
type Cell struct {
	// Arm is "mesh" or "direct".
	Arm string `json:"arm"`
	// Organisation and Class label the class.
	Organisation string `json:"organisation"`
	// Class is the name of the class.
	Class string `json:"class"`
	// Sent is the number of requests sent, repeats and retries included.
	Sent int `json:"sent"`
	// Replayed is the number of answers that were replayed.
	Replayed int `json:"replayed"`
	// Labels counts how requests ended.
	Labels map[Label]int `json:"labels"`
	// Reasons counts the reasons of requests that were not answered.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Micros are the latencies of answered requests from their sending, in
	// microseconds.
	Micros Quantiles `json:"micros"`
	// DueMicros are those of first tries from when the request was due. In an
	// open loop they include how late the tool itself was.
	DueMicros Quantiles `json:"dueMicros"`
}

// Quantiles describe a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Broken reports whether a promise was broken.
func (r Result) Broken() bool { return len(r.Violations) > 0 }

// add counts a violation.
func (r *Result) add(v Violation) {
	if r.Violations == nil {
		r.Violations = make(map[Breach]int)
	}
	r.Violations[v.Breach]++
	if r.Violations[v.Breach] <= maxExamples {
		r.Examples = append(r.Examples, v)
	}
}

// forget removes the violations of one breach.
func (r *Result) forget(b Breach) {
	delete(r.Violations, b)
	r.Examples = slices.DeleteFunc(r.Examples, func(v Violation) bool { return v.Breach == b })
}

// recorder gathers a Result. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	result     Result
	lag        *hdrhistogram.Histogram
	histograms []latencies // one for each cell
}

// latencies are the histograms of one cell.
type latencies struct {
	sent *hdrhistogram.Histogram
	due  *hdrhistogram.Histogram
}

// newRecorder returns a recorder with one cell for each arm and class.
func newRecorder(run string, arms []Arm, classes []Class) *recorder {
	r := &recorder{result: Result{Run: run}, lag: newHistogram()}
	for _, a := range arms {
		for _, c := range classes {
			r.result.Cells = append(r.result.Cells, Cell{
				Arm: a.Name, Organisation: c.Organisation, Class: c.Name,
				Labels: make(map[Label]int), Reasons: make(map[string]int),
			})
			r.histograms = append(r.histograms, latencies{newHistogram(), newHistogram()})
		}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// record counts what came of one request. sinceDue is 0 for a retry.
func (r *recorder) record(cell int, id string, v seen, sinceSent, sinceDue time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.result.Cells[cell]
	c.Sent++
	c.Labels[v.label]++
	switch v.label {
	case LabelAnswered:
		observe(r.histograms[cell].sent, sinceSent)
		if sinceDue > 0 {
			observe(r.histograms[cell].due, sinceDue)
		}
	case LabelNotRun:
		r.keepNotRun(id)
	}
	if v.label != LabelAnswered && v.reason != "" {
		c.Reasons[v.reason]++
	}
	if v.replayed {
		c.Replayed++
	}
	if v.violation != nil {
		r.result.add(*v.violation)
	}
}

func (r *recorder) keepNotRun(id string) {
	if len(r.result.NotRunIDs) >= maxNotRunIDs {
		r.result.NotRunIDsDropped++
		return
	}
	r.result.NotRunIDs = append(r.result.NotRunIDs, id)
}

func (r *recorder) late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	observe(r.lag, d)
}

func (r *recorder) unsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unsent++
}

// finish returns the result.
func (r *recorder) finish(elapsed time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, h := range r.histograms {
		r.result.Cells[i].Micros = quantiles(h.sent)
		r.result.Cells[i].DueMicros = quantiles(h.due)
	}
	r.result.Elapsed = elapsed.Seconds()
	r.result.LagP99 = micros(r.lag.ValueAtQuantile(99))
	return r.result
}

// observe records d, clamped to the histogram's range.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowest), highest)) // always in range
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  micros(h.ValueAtQuantile(50)),
		P99:  micros(h.ValueAtQuantile(99)),
		P999: micros(h.ValueAtQuantile(99.9)),
		Max:  micros(h.Max()),
	}
}

func micros(nanos int64) float64 { return float64(nanos) / float64(time.Microsecond) }
