package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// headerOrigin names the node where a request of a test begins.
const headerOrigin = "X-Origin"

// exchange is a request of a test's caller.
type exchange struct {
	node, id       string
	sent, answered time.Time
	status         int
	header         http.Header
}

// statementLoad sends requests at all nodes and records what callers get.
type statementLoad struct {
	f       *fleet
	mu      sync.Mutex
	all     []exchange
	callers sync.WaitGroup
}

// run sends requests at a rate, to each node in turn, for a duration.
func (l *statementLoad) run(perSecond float64, duration time.Duration) {
	began := time.Now()
	for i := range int(perSecond * duration.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		l.send(l.f.nodes[i%len(l.f.nodes)], i)
	}
}

// send sends a request without waiting for its answer.
func (l *statementLoad) send(m *site, i int) {
	l.callers.Go(func() {
		e := exchange{node: string(m.node.set.Node), sent: time.Now()}
		e.id = fmt.Sprintf("%s-%d-%d", e.node, i, e.sent.UnixNano())
		method, path := "GET", "/status/x"
		if i%3 == 0 {
			method, path = "POST", "/book/x"
		}
		resp, err := l.f.try(m, method, path, platformtest.HeaderRequestID, e.id, headerOrigin, e.node)
		if err == nil {
			e.status, e.header = resp.StatusCode, resp.Header
		}
		e.answered = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, e)
	})
}

// told returns when each node first passed on an answer with a header.
func (l *statementLoad) told(header string, from *platformtest.Backend) map[string]time.Time {
	l.callers.Wait()
	ran := make(map[string]bool)
	for _, s := range from.Seen() {
		ran[s.ID] = true
	}
	first := make(map[string]time.Time)
	for _, e := range l.all {
		if e.header.Get(header) == "" || e.header.Get(platformtest.HeaderID) != from.ID || !ran[e.id] {
			continue
		}
		if at, found := first[e.node]; !found || e.answered.Before(at) {
			first[e.node] = e.answered
		}
	}
	return first
}

// limitWindow is the length of the windows in which a stated limit holds.
const limitWindow = 4 * time.Second

// mostInWindow returns the largest number of requests that a backend server got in any window
// from nodes that had passed on its limit half a second before or earlier.
func (l *statementLoad) mostInWindow(b *platformtest.Backend) int {
	told := l.told(platformtest.HeaderLimit, b)
	var counted []time.Time
	for _, s := range b.Seen() {
		at, found := told[s.Headers.Get(headerOrigin)]
		if found && s.At.Sub(at) >= 500*time.Millisecond {
			counted = append(counted, s.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	most, from := 0, 0
	for i, at := range counted {
		for at.Sub(counted[from]) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// pauses measures for how long the process got no processor, by timers that run late.
type pauses struct{ sum atomic.Int64 }

const (
	pauseTick = 5 * time.Millisecond
	// latePause is the least lateness of a timer that counts.
	latePause = 2 * time.Millisecond
	// maxPauses is the sum of the pauses up to which lower bounds in real time are checked: in
	// that time a limit of 10.9 per second allows the 3 requests that a bound of 40 in a window
	// leaves.
	maxPauses = 300 * time.Millisecond
)

// measure measures until stop is closed.
func (p *pauses) measure(stop <-chan struct{}) {
	for {
		due := time.Now().Add(pauseTick)
		select {
		case <-stop:
			return
		case <-time.After(pauseTick):
		}
		if late := time.Since(due); late >= latePause {
			p.sum.Add(int64(late))
		}
	}
}

// few reports whether the process had a processor nearly all the time.
func (p *pauses) few() bool { return time.Duration(p.sum.Load()) <= maxPauses }

// allowed is the largest number of requests in a window that a stated limit allows.
func allowed(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// try sends a request to a node. The response's body has been read.
func (f *fleet) try(m *site, method, path string, more ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+m.node.set.Listen.Callers+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(platformtest.HeaderWait, "1000")
	for i := 0; i < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// Guards against a stated limit that no node keeps, or that each node keeps for itself.
func TestStatedLimitHoldsInSumOverAllNodes(t *testing.T) {
	f := newSilentFleet(t, 6) // two have no backend server, so that several send to the same one
	for _, m := range f.nodes[:4] {
		must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	}
	f.waitForServers(4)
	limits := map[int]string{0: "10.9", 1: "0", 2: "0.2"}
	for i, perSecond := range limits {
		f.nodes[i].backend.StateLimit(perSecond)
	}
	for _, m := range f.nodes {
		m.backend.Work = 20 * time.Millisecond
	}
	var p pauses
	stop := make(chan struct{})
	go p.measure(stop)
	l := &statementLoad{f: f}
	l.run(160, 7*time.Second)
	close(stop)
	must.LessEq(t, allowed(10.9), l.mostInWindow(f.nodes[0].backend))
	must.LessEq(t, allowed(0), l.mostInWindow(f.nodes[1].backend))
	must.LessEq(t, allowed(0.2), l.mostInWindow(f.nodes[2].backend))
	t.Logf("the process was paused for %v", time.Duration(p.sum.Load()))
	if p.few() { // else balance.TestStatedLimitIsUsedInSumOverAllNodes alone shows what follows
		must.GreaterEq(t, 40, l.mostInWindow(f.nodes[0].backend), must.Sprint("the limit should be used"))
		must.GreaterEq(t, 2, len(l.told(platformtest.HeaderLimit, f.nodes[0].backend)), must.Sprint("several nodes should send to it"))
	}
}

// Guards against a backend server that states in its answers alone that it is shutting down,
// and goes on getting requests while its heartbeats say that it is ready.
func TestBackendServerThatStatesToBeLeavingIsDrained(t *testing.T) {
	f := newFleet(t, 3)
	leaving := f.nodes[0]
	leaving.backend.StateLeaving(true)
	for _, m := range f.nodes {
		m.backend.Work = 20 * time.Millisecond // so that load decides, and each gets requests
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				_ = leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, false) // a missed one is sent again
			}
		}
	}()
	l := &statementLoad{f: f}
	l.run(100, 3*time.Second)
	told := l.told(platformtest.HeaderLeaving, leaving.backend)
	must.Positive(t, len(told))
	for _, s := range leaving.backend.Seen() {
		at, found := told[s.Headers.Get(headerOrigin)]
		must.False(t, found && s.At.Sub(at) > leaving.node.set.drain(), must.Sprintf("%s got %s %v after its node was told", leaving.backend.ID, s.ID, s.At.Sub(at)))
	}
	for _, e := range l.all {
		must.Eq(t, http.StatusOK, e.status, must.Sprint(e.id, ": the others have room"))
	}
}

// restart ends a node without a word and starts it again at its addresses. Its backend server
// goes on.
func (f *fleet) restart(i int) {
	m := f.nodes[i]
	m.node.close()
	<-m.ended
	set := *m.node.set
	set.FirstStart = false
	logger := log.NewLogfmtLogger(log.NewSyncWriter(m.logs))
	node, err := New(&set, "no file", logsTo(logger))
	must.NoError(f.t, err)
	m.node = node
	go func() { m.ended <- node.Run(new(signals.Signals)) }()
	f.t.Cleanup(node.close)
}

// newLimitedFleet starts nodes of which the first two have a backend server, and the first one's states a
// limit of 0. The load comes from the others: node 2 sends to node 0, in the same zone.
func newLimitedFleet(t *testing.T) (*fleet, *statementLoad) {
	f := newSilentFleet(t, 4)
	for _, m := range f.nodes[:2] {
		must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
		m.backend.Work = 50 * time.Millisecond
	}
	f.waitForServers(2)
	f.nodes[0].backend.StateLimit("0")
	l := &statementLoad{f: &fleet{t: t, nodes: f.nodes[2:]}}
	l.run(60, time.Second)
	return f, l
}

// Guards against a gate that starts again beside a limited backend server and sends it requests
// of other nodes, which know the limit, until the first response shows it.
func TestStatedLimitOutlastsTheGate(t *testing.T) {
	f, l := newLimitedFleet(t)
	limited := f.nodes[0]
	for range 3 {
		f.restart(0)
		must.NoError(t, limited.backend.Beat(limited.node.set.Listen.Backend, limited.addr, false))
		l.run(60, 1500*time.Millisecond)
	}
	must.Positive(t, len(l.told(platformtest.HeaderLimit, limited.backend)))
	must.LessEq(t, allowed(0), l.mostInWindow(limited.backend))
	must.StrContains(t, limited.logs.String(), "limited=true per_second=0 was_limited=false was_per_second=0 source=entry-node")
}

// Guards against a limit that is exceeded because all nodes that know it were killed.
func TestStatedLimitHoldsAfterAllNodesAreKilled(t *testing.T) {
	f, l := newLimitedFleet(t)
	limited, other := f.nodes[0], f.nodes[1]
	for _, m := range f.nodes {
		m.node.close()
	}
	for i := range f.nodes {
		f.restart(i)
	}
	for _, m := range []*site{limited, other} {
		must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
	}
	l.run(60, 3*time.Second)
	must.LessEq(t, allowed(0), l.mostInWindow(limited.backend))
}

// newBornFleet is newFleet with backend servers that report the time of their start.
func newBornFleet(t testing.TB, n int) *fleet {
	f := newSilentFleet(t, n)
	for _, m := range f.nodes {
		m.backend.Born = 1_000_000
	}
	f.beat()
	f.knowAll()
	return f
}

// Guards against a limit that outlasts the statement or the start of the backend server, and
// against statements of callers and malformed ones.
func TestLimitEndsWithTheStatementAndTheInstance(t *testing.T) {
	f := newBornFleet(t, 1)
	m := f.nodes[0]
	serves := func(want int) {
		t.Helper()
		served := 0
		for range 10 {
			resp, err := f.try(m, "GET", "/status/x", platformtest.HeaderRequestID, fmt.Sprint(time.Now().UnixNano()),
				platformtest.HeaderLimit, "0", platformtest.HeaderLeaving, "1")
			must.NoError(t, err)
			if resp.StatusCode == http.StatusOK {
				served++
			}
		}
		must.Eq(t, want, served)
	}
	serves(10)
	for _, malformed := range []string{"-1", "NaN", "lots", "", "0x1", "1e1"} {
		m.backend.StateLimit(malformed)
		serves(10)
	}
	m.backend.StateLimit("0", "0")
	serves(10)
	m.backend.StateLimit("0")
	serves(1) // the answer to the first one states the limit
	must.StrContains(t, m.logs.String(), "status=503 reason=server-limit")
	m.backend.StateLimit()
	f.eventually("a trial shows that the limit has ended", func() bool {
		resp, err := f.try(m, "GET", "/status/x", platformtest.HeaderRequestID, fmt.Sprint(time.Now().UnixNano()))
		return err == nil && resp.StatusCode == http.StatusOK
	})
	serves(10)
	m.backend.StateLimit("0")
	serves(1)
	m.backend.StateLimit()
	again := m.backend.Again(1_000_500)
	must.NoError(t, again.Beat(m.node.set.Listen.Backend, m.addr, false))
	serves(10)
}

// Guards against a departed backend server that gets requests again after its node has started
// anew, and against one whose next start is never used.
func TestDepartureOutlastsTheNodeAndEndsWithTheInstance(t *testing.T) {
	f := newBornFleet(t, 3)
	leaving, other := f.nodes[0], f.nodes[2]
	leaving.backend.StateLeaving(true)
	for _, m := range f.nodes {
		m.backend.Work = 20 * time.Millisecond
	}
	f.store.SetDown(true) // the row of the drain is not written
	l := &statementLoad{f: &fleet{t: t, nodes: []*site{other, leaving}}}
	l.run(150, 500*time.Millisecond)
	l.callers.Wait()
	must.MapContainsKey(t, l.told(platformtest.HeaderLeaving, leaving.backend), string(other.node.set.Node))
	f.eventually("the node has noted it", func() bool { return strings.Contains(other.logs.String(), "event=instance_departed") })
	f.restart(0)
	f.store.SetDown(false)
	f.eventually("the node is ready again", func() bool { return leaving.node.ready() })
	before := len(leaving.backend.Seen())
	must.NoError(t, leaving.backend.Beat(leaving.node.set.Listen.Backend, leaving.addr, false))
	from := &statementLoad{f: &fleet{t: t, nodes: []*site{other}}}
	from.run(400, time.Second)
	from.callers.Wait()
	must.Eq(t, before, len(leaving.backend.Seen()))

	leaving.backend.StateLeaving(false)
	next := leaving.backend.Again(1_000_500)
	must.NoError(t, next.Beat(leaving.node.set.Listen.Backend, leaving.addr, false))
	f.eventually("its next start is used", func() bool {
		from.run(400, 200*time.Millisecond) // more than the other one can take
		from.callers.Wait()
		return len(leaving.backend.Seen()) > before
	})
}

// Guards against a backend server whose limit has ended and that gets nothing more as long as
// the others have room.
func TestServerWhoseLimitHasEndedIsUsedAgainUnderLightLoad(t *testing.T) {
	f := newSilentFleet(t, 3) // node 2 sends to node 0 and, in the other zone, to node 1
	for _, m := range f.nodes[:2] {
		must.NoError(t, m.backend.Beat(m.node.set.Listen.Backend, m.addr, false))
		m.backend.Work = 20 * time.Millisecond
	}
	f.waitForServers(2)
	limited := f.nodes[0]
	limited.backend.StateLimit("0")
	l := &statementLoad{f: &fleet{t: t, nodes: []*site{f.nodes[2]}}}
	l.run(40, 3*time.Second)
	limited.backend.StateLimit()
	before := len(limited.backend.Seen())
	l.run(40, 9*time.Second)
	l.callers.Wait()
	must.GreaterEq(t, 40, len(limited.backend.Seen())-before)
}
