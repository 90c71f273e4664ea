package soak

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/process"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// build builds the programs of a site and returns their folder.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/jacinthgate-sidecar").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return bin
}

// Short runs of real processes, with the same disturbances every time.
func TestShortSoak(t *testing.T) {
	bin := build(t)
	for name, plan := range map[string]Plan{
		"all faults":    NewPlan(3, 4, 6*time.Second),
		"planned work":  NewPlannedPlan(1, 4, 6*time.Second),
		"crashes":       NewCrashPlan(2, 4, 6*time.Second),
		"together":      NewTogetherPlan(1, 6, 6*time.Second),
		"keys":          NewKeyPlan(72, 4, 6*time.Second),
		"restores":      NewRestorePlan(1, 4, 6*time.Second),
		"series":        NewSeriesPlan(5, 4, 6*time.Second),
		"places":        NewEvacuationPlan(4, 6, 6*time.Second),
		"ahead":         NewAheadPlan(10, 4, 6*time.Second, true),
		"ahead planned": NewAheadPlan(26, 4, 6*time.Second, false),
		// Seeds 3 and 4 lost answers to callers that take them slowly.
		"habits planned": NewHabitPlan(3, 4, 6*time.Second, false),
		"habits":         NewHabitPlan(4, 4, 6*time.Second, true),
		"statements":     NewStatementPlan(2, 6, 6*time.Second),
		"silences":       NewSilencePlan(1, 6, 10*time.Second),
		"leaving":        NewLeavingPlan(3, 6, 8*time.Second),
		"forgotten":      NewForgottenPlan(3, 6, 8*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			callers := CallersPerNode
			if plan.Habits {
				callers = int(habitCount)
			}
			r, err := Run(t.Context(), Config{Bin: bin, Dir: t.TempDir(), Plan: plan, Callers: callers})
			must.NoError(t, err)
			must.SliceEmpty(t, r.Violations, must.Sprint(r.Violations, "\n", plan))
			must.Positive(t, r.Served)
		})
	}
}

// bare is a soak without a site, of one node.
func bare(t *testing.T) (*soak, *node) {
	n := &node{name: "node-0"}
	return &soak{site: &site{cfg: Config{Dir: t.TempDir()}, nodes: []*node{n}}}, n
}

func TestNodeThatDoesNotStopIsFound(t *testing.T) {
	s, n := bare(t)
	p, err := process.Start(s.site.cfg.Dir, n.name, "/bin/sh", "-c", "trap '' TERM; echo ready; while :; do sleep 0.01; done")
	must.NoError(t, err)
	n.proc = p
	defer p.Kill()
	for { // until it ignores the signal
		b, err := os.ReadFile(process.LogFile(s.site.cfg.Dir, n.name))
		must.NoError(t, err)
		if len(b) > 0 {
			break
		}
	}
	s.terminate(n, 50*time.Millisecond)
	must.Len(t, 1, s.found)
	must.Eq(t, CheckStop, s.found[0].Check)
	// It is gone now: a node that ends by itself is found as well.
	s.terminate(n, time.Second)
	must.Len(t, 2, s.found)
}

func TestFailureWithoutALogLineIsFound(t *testing.T) {
	s, n := bare(t)
	line := "event=request_refused request=soak-1 status=503\n"
	must.NoError(t, os.WriteFile(filepath.Join(s.site.cfg.Dir, n.name+".log"), []byte(line), 0o600))
	requests := []Request{
		{ID: "soak-1", Status: http.StatusServiceUnavailable},
		{ID: "soak-2", Status: http.StatusServiceUnavailable},
		{ID: "soak-3", Status: http.StatusInternalServerError, Stamped: true},
		{ID: "soak-4", Status: http.StatusOK, Stamped: true},
	}
	found := s.unexplained(requests)
	must.Len(t, 1, found)
	must.StrContains(t, found[0].Detail, "soak-2")
}

// nodeThatAnswers is a node whose callers get the given status for the routes of
// every version.
func nodeThatAnswers(t *testing.T, status func(path string) int) *node {
	t.Helper()
	// The port of callers is fixed, so the node has an address of its own.
	network, err := process.ReserveNetwork(0)
	must.NoError(t, err)
	n := &node{name: "node-0", ip: network.IP(1, 1)}
	server := &http.Server{Addr: n.addr(portCallers), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status(r.URL.Path))
	})}
	go func() { _ = server.ListenAndServe() }() // it ends with Close
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		network.Release()
	})
	return n
}

// watched returns what the watch over versions finds at a node within a second.
func watched(t *testing.T, accepted time.Time, status func(path string) int) []Violation {
	t.Helper()
	n := nodeThatAnswers(t, status)
	st := &site{store: platformtest.NewStore()}
	v := &versions{site: st, callers: &callers{site: st}}
	v.change()
	v.accepted[0] = accepted
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	v.watch(ctx, n, func(_, _ time.Time) bool { return true })
	return v.found
}

func TestNodeThatGoesBackAVersionIsFound(t *testing.T) {
	var asked atomic.Int32
	found := watched(t, time.Now(), func(string) int {
		if asked.Add(1) < 3 {
			return http.StatusOK
		}
		return http.StatusNotFound
	})
	must.Positive(t, len(found))
	must.Eq(t, CheckVersion, found[0].Check)
}

func TestNodeThatMissesAVersionIsFound(t *testing.T) {
	never := func(string) int { return http.StatusNotFound }
	must.SliceEmpty(t, watched(t, time.Now(), never), must.Sprint("there is still time"))
	must.Positive(t, len(watched(t, time.Now().Add(-inForce), never)))
}

func TestRowsThatStayLostAreFound(t *testing.T) {
	s := &soak{site: &site{store: platformtest.NewStore()}, lost: []string{nodeRows + "node-0"}}
	s.site.store.Put(nodeTable, nodeRows+"node-0", []byte("x"))
	s.checkRows(t.Context(), 100*time.Millisecond)
	must.SliceEmpty(t, s.found)
	s.lost = append(s.lost, nodeRows+"node-1")
	s.checkRows(t.Context(), 100*time.Millisecond)
	must.Len(t, 1, s.found)
	must.Eq(t, CheckRows, s.found[0].Check)
}

func TestNodeThatMissesTheLastVersionIsFound(t *testing.T) {
	n := nodeThatAnswers(t, func(string) int { return http.StatusNotFound })
	st := &site{nodes: []*node{n}, store: platformtest.NewStore()}
	s := &soak{site: st, callers: &callers{site: st}}
	s.versions = &versions{site: st, callers: s.callers}
	s.checkLast(t.Context(), 200*time.Millisecond)
	must.Len(t, 1, s.found)
	must.Eq(t, CheckVersion, s.found[0].Check)
}

func TestNodeThatRefusesWhatIsPopularIsFound(t *testing.T) {
	n := nodeThatAnswers(t, func(path string) int {
		if path == popularPath {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	})
	s := &soak{site: &site{nodes: []*node{n}}}
	s.callers = &callers{site: s.site}
	s.checkPopular(t.Context(), 200*time.Millisecond)
	must.Len(t, 1, s.found)
	must.Eq(t, CheckRecovery, s.found[0].Check)
}

func TestNodeThatDoesNotServeAgainIsFound(t *testing.T) {
	n := nodeThatAnswers(t, func(string) int { return http.StatusServiceUnavailable })
	s := &soak{site: &site{nodes: []*node{n}}}
	s.callers = &callers{site: s.site}
	must.Eq(t, n, s.awaitServing(t.Context(), 200*time.Millisecond))
}
