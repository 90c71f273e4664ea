package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/process"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Result is what a soak has seen and found.
type Result struct {
	// Requests, Served and Arrivals are counts.
	Requests, Served, Arrivals int
	// Periods are those in which processes had a share of a core, and Throttled those in which
	// they used it up.
	Periods, Throttled int
	// Violations are the broken promises.
	Violations []Violation
}

const (
	// startTime bounds the time until every node serves.
	startTime = 15 * time.Second
	// recoverTime is how long after the last disturbance every node serves.
	recoverTime = 15 * time.Second
	// stopMargin is added to the grace time, for the machine's own delays.
	stopMargin = 2 * time.Second
)

// soak is one run.
type soak struct {
	site     *site
	callers  *callers
	versions *versions

	mu      sync.Mutex
	spans   []Span
	stops   []Stop
	drained map[string]time.Time
	limits  map[string][]LimitSpan // by startOf
	found   []Violation
	faults  map[Fault]int // of the store, under way
	// evacuated are the zones under evacuation, and evacuations those that have ended.
	evacuated   map[model.Zone]bool
	evacuations []Evacuation
	lost        []string // rows of nodes that a restore of the store may have taken
	throttled   throttled
	// alone is held by faults of which one is played at a time.
	alone sync.Mutex
}

// NotServingError reports a site that didn't begin to serve.
type NotServingError struct {
	// Node is the node.
	Node string
}

// Error implements error.
func (e *NotServingError) Error() string { return "node " + e.Node + " doesn't begin to serve" }

// Run plays a plan. The error reports what kept it from being played; what the
// plan has found is in the result. Everything that was started has ended when it
// returns.
func Run(ctx context.Context, cfg Config) (Result, error) {
	st, err := newSite(cfg)
	if st != nil {
		defer st.end()
	}
	if err != nil {
		return Result{}, err
	}
	s := &soak{site: st, callers: &callers{site: st}, drained: make(map[string]time.Time), limits: make(map[string][]LimitSpan), faults: make(map[Fault]int),
		evacuated: make(map[model.Zone]bool)}
	s.versions = &versions{site: st, callers: s.callers}
	s.callers.versions = s.versions
	s.versions.change()
	helpers, stop := context.WithCancel(ctx)
	defer stop()
	var beats sync.WaitGroup
	for _, n := range st.nodes {
		beats.Go(func() { s.beat(helpers, n) })
	}
	if n := s.awaitServing(ctx, startTime); n != nil {
		return Result{}, &NotServingError{Node: n.name}
	}
	if cfg.Share > 0 {
		beats.Go(func() { s.bound(helpers, cfg.Share) })
	}
	s.play(ctx)
	s.recovery(ctx)
	s.stopAll()
	stop()
	beats.Wait()
	return s.result(), ctx.Err()
}

// beat sends the heartbeats of the backend server beside a node.
func (s *soak) beat(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		n.host.beat()
		time.Sleep(heartbeatEvery)
	}
}

// play runs the callers and the plan's steps.
func (s *soak) play(ctx context.Context) {
	load, stop := context.WithCancel(ctx)
	defer stop()
	var watches sync.WaitGroup
	for _, n := range s.site.nodes {
		s.callers.start(load, n, s.site.cfg.Callers)
		watches.Go(func() {
			s.versions.watch(load, n, s.mustBeInForce)
		})
	}
	var steps sync.WaitGroup
	began := time.Now()
	for _, step := range s.site.cfg.Plan.Steps {
		wait(ctx, time.Until(began.Add(step.At)))
		steps.Go(func() { s.disturb(ctx, step) })
	}
	steps.Wait()
	stop()
	s.callers.wait.Wait()
	watches.Wait()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// open notes that a disturbance begins, and returns what notes its end.
func (s *soak) open(f Fault, node int) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.spans)
	// Until it is over its end is not known, and lies in the future.
	s.spans = append(s.spans, Span{From: time.Now(), To: time.Now().Add(time.Hour), Fault: f, Node: node})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[i].To = time.Now()
	}
}

func (s *soak) add(c Check, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = append(s.found, Violation{Check: c, Detail: fmt.Sprintf(format, args...)})
}

// awaitServing waits until every node serves, and returns one that doesn't.
func (s *soak) awaitServing(ctx context.Context, bound time.Duration) *node {
	return awaitAnswers(ctx, s.site.nodes, bound, func(n *node) Request { return s.callers.send(n.caller(true), n, "/status/") })
}

// awaitAnswers asks each node until it has answered with success, and returns one that doesn't.
func awaitAnswers(ctx context.Context, nodes []*node, bound time.Duration, ask func(*node) Request) *node {
	deadline := time.Now().Add(bound)
	for _, n := range nodes {
		for ask(n).Status != http.StatusOK {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return n
			}
			time.Sleep(askEvery)
		}
	}
	return nil
}

func (s *soak) recovery(ctx context.Context) {
	if n := s.awaitServing(ctx, recoverTime); n != nil && ctx.Err() == nil {
		s.add(CheckRecovery, "%s doesn't serve %v after the last disturbance", n.name, recoverTime)
	}
	s.checkPopular(ctx, recoverTime)
	s.checkRows(ctx, recoverTime)
	s.checkLimitsEnded(ctx, recoverTime)
	s.checkLast(ctx, recoverTime)
}

// stopAll ends every node as planned work does.
func (s *soak) stopAll() {
	var all sync.WaitGroup
	for _, n := range s.site.nodes {
		all.Go(func() { s.terminate(n, graceTime+stopMargin) })
	}
	all.Wait()
}

// terminate ends a node by SIGTERM and checks that it does so within the bound.
func (s *soak) terminate(n *node, bound time.Duration) {
	p, _ := n.running()
	if !p.Alive() {
		s.add(CheckStop, "%s has ended by itself", n.name)
		return
	}
	s.noteStop(n)
	if !p.Terminate(bound) {
		s.add(CheckStop, "%s still ran %v after SIGTERM", n.name, bound)
	}
}

func (s *soak) noteStop(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, Stop{Node: n.number, At: time.Now()})
}

// result gathers what callers and backend servers saw, and checks it.
func (s *soak) result() Result {
	h := History{Requests: s.callers.taken(), Drained: s.drained, Spans: s.spans, Stops: s.stops, Keyed: s.site.cfg.Plan.Keyed, Accepted: s.versions.accepted}
	h.Evacuations, h.ColdSpans, h.Limits = s.evacuations, make(map[string][]Span), s.limits
	for _, n := range s.site.nodes {
		for _, b := range n.host.all {
			h.Arrivals = append(h.Arrivals, arrivals(b, n.set.Zone)...)
			h.ColdSpans[startOf(b.ID, b.Born)] = b.coldSpans
		}
	}
	r := Result{Requests: len(h.Requests), Arrivals: len(h.Arrivals), Periods: s.throttled.periods, Throttled: s.throttled.cut}
	for i := range h.Requests {
		if h.Requests[i].Status == http.StatusOK {
			r.Served++
		}
	}
	r.Violations = append(r.Violations, s.found...)
	r.Violations = append(r.Violations, s.versions.found...)
	r.Violations = append(r.Violations, h.Violations()...)
	r.Violations = append(r.Violations, s.unexplained(h.Requests)...)
	return r
}

// logged matches the id of a request in a log line.
var logged = regexp.MustCompile(`request=(soak-[0-9]+)`)

// unexplained returns the refusals and failures of nodes that no log tells of.
func (s *soak) unexplained(requests []Request) []Violation {
	told := make(map[string]bool)
	for _, n := range s.site.nodes {
		b, err := os.ReadFile(process.LogFile(s.site.cfg.Dir, n.name))
		if err != nil {
			return []Violation{{Check: CheckExplained, Detail: err.Error()}}
		}
		for _, m := range logged.FindAllSubmatch(b, -1) {
			told[string(m[1])] = true
		}
	}
	var found []Violation
	for i := range requests {
		r := &requests[i]
		if r.Status >= http.StatusBadRequest && !r.Stamped && !told[r.ID] {
			found = append(found, Violation{Check: CheckExplained, Detail: fmt.Sprintf("%s: status %d, no line", r.ID, r.Status)})
		}
	}
	return found
}

// setStore sets the store's faults from those that are under way.
func (s *soak) setStore(f Fault, more int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f] += more
	var set platformtest.Faults
	set.Down = s.faults[FaultStoreDown] > 0
	if s.faults[FaultStoreSlow] > 0 {
		set.Delay = slowStore
	}
	if s.faults[FaultStoreLost] > 0 {
		set.LoseAnswers = 0.5
	}
	s.site.store.SetFaults(set)
}

// signalNode sends a signal. A process that has just ended needs none.
func (s *soak) signalNode(n *node, sig syscall.Signal) {
	p, _ := n.running()
	if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.add(CheckStop, "%s: %v", n.name, err)
	}
}
