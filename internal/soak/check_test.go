package soak

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var begin = time.Unix(1_000_000, 0)

// at returns the time so many milliseconds after the beginning.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// served is a history in which one request was answered as it should.
func served() History {
	return History{
		Requests: []Request{{
			ID: "a", Method: "POST", Path: "/book/a", Service: "rooms", Sent: at(0), Written: at(1), Done: at(50), Wait: callerWait,
			Status: http.StatusOK, Stamped: true, Body: Answer("i-1", "/book/a"),
		}},
		Arrivals: []Arrival{{Server: "i-1", ID: "a", Method: "POST", Path: "/book/a", Caller: "rooms", At: at(10)}},
		Drained:  map[string]time.Time{},
		Spans:    []Span{{From: at(-100), To: at(100), Fault: FaultTerm}},
	}
}

// Each check finds the fault that it is there for, and nothing else.
func TestEveryCheckCanFail(t *testing.T) {
	good := served()
	must.SliceEmpty(t, good.Violations())
	for want, spoil := range map[Check]func(h *History){
		CheckWhole: func(h *History) { h.Requests[0].Body = Answer("i-1", "/book/b") },
		CheckOnce:  func(h *History) { h.Arrivals = append(h.Arrivals, h.Arrivals[0]) },
		CheckNotRun: func(h *History) {
			h.Requests[0].Status, h.Requests[0].Stamped = http.StatusServiceUnavailable, false
		},
		CheckAsked:   func(h *History) { h.Arrivals[0].Caller = "another" },
		CheckDrain:   func(h *History) { h.Drained["i-1"] = at(10).Add(-drainMargin - time.Millisecond) },
		CheckPlanned: func(h *History) { h.Requests[0].Status = 0 },
		CheckEnds: func(h *History) {
			h.Arrivals = nil
			h.Requests[0].Status, h.Requests[0].Done = 0, at(300)
		},
		CheckLate: func(h *History) {
			h.Arrivals = nil
			h.Requests[0].Path, h.Requests[0].Status, h.Requests[0].Stamped = "/book/a"+lateSuffix, http.StatusBadGateway, false
		},
		CheckQuarantine: func(h *History) { h.askDeadly(0, 100, 200, 3300, 3400, 3500, 3600) },
	} {
		t.Run(string(want), func(t *testing.T) {
			h := served()
			spoil(&h)
			found := h.Violations()
			// A changed service leaves the success without a run as well.
			must.Positive(t, len(found))
			must.Eq(t, want, found[0].Check)
		})
	}
}

// asksToStop makes the history that of a node that got SIGTERM at a time, and of a request that
// was answered with a status while its backend server was at work.
func (h *History) asksToStop(stopped, sent, done, status int) {
	h.Stops = []Stop{{At: at(stopped)}}
	h.Arrivals[0].At, h.Arrivals[0].Work = at(sent), slowWork
	r := &h.Requests[0]
	r.Wait, r.Sent, r.Written, r.Done = slowWait, at(sent), at(sent), at(done)
	r.Status, r.Stamped, r.Body = status, false, ""
}

func TestWhatPlannedWorkMayNotDo(t *testing.T) {
	for name, spoil := range map[string]func(h *History){
		"a cut beside faults of the store": func(h *History) {
			h.Requests[0].Status = 0
			h.Spans = append(h.Spans, Span{From: at(-100), To: at(100), Fault: FaultStoreDown})
		},
		"an own answer while a backend server is at work": func(h *History) { h.asksToStop(-1000, 0, 500, http.StatusBadGateway) },
		"a cut before the end of the grace time":          func(h *History) { h.asksToStop(-1000, 0, 500, 0) },
		"a cut at the end of the grace time":              func(h *History) { h.asksToStop(0, 2500, 5100, 0) },
		"no answer until the caller gives up":             func(h *History) { h.asksToStop(-1000, 0, 6000, 0) },
		"an own answer to a request sent too late":        func(h *History) { h.asksToStop(0, 3100, 5100, http.StatusBadGateway) },
		"a cut of a request that was sent too late":       func(h *History) { h.asksToStop(0, 3100, 5100, 0) },
		"a cut of a request that was sent behind another": func(h *History) { h.Requests[0].Status, h.Requests[0].Behind = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			h := served()
			spoil(&h)
			found := h.Violations()
			must.Positive(t, len(found))
			must.Eq(t, CheckPlanned, found[0].Check)
		})
	}
}

// askDeadly adds a request that reaches a new backend server at each of the times, in
// milliseconds.
func (h *History) askDeadly(times ...int) {
	for i, ms := range times {
		id := "deadly-" + strconv.Itoa(i)
		h.Requests = append(h.Requests, Request{ID: id, Method: "GET", Path: deadlyPath(0), Service: "rooms", Idempotent: true, Sent: at(ms), Done: at(ms + 1), Status: http.StatusBadGateway})
		h.Arrivals = append(h.Arrivals, Arrival{Server: "i-2", Born: int64(ms + 1), ID: id, Method: "GET", Path: deadlyPath(0), Caller: "rooms", At: at(ms)})
	}
}

func TestWhatIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"a cut beside an unplanned fault": func(h *History) {
			h.Requests[0].Status = 0
			h.Spans = append(h.Spans, Span{From: at(-4000), To: at(-3000), Fault: FaultKill})
		},
		"a node's answer at the end of the grace time": func(h *History) { h.asksToStop(0, 2500, 5100, http.StatusBadGateway) },
		"a node's answer when the caller's time is over": func(h *History) {
			h.asksToStop(-1000, 0, int(slowWait.Milliseconds()), http.StatusGatewayTimeout)
		},
		"a connection that ends as the request is written": func(h *History) {
			h.Arrivals = nil
			h.Requests[0].Status, h.Requests[0].Done = 0, at(150)
		},
		"a refused connection": func(h *History) {
			h.Arrivals = nil
			h.Requests[0].Status, h.Requests[0].Written, h.Requests[0].Done = 0, time.Time{}, at(900)
		},
		"an idempotent request that ran twice": func(h *History) {
			h.Requests[0].Idempotent = true
			h.Arrivals = append(h.Arrivals, h.Arrivals[0])
		},
		"a refusal by a backend server of its own": func(h *History) { h.Requests[0].Status = http.StatusServiceUnavailable },
		"a request that ends backend servers until it is known": func(h *History) {
			h.askDeadly(0, 100, 200, 1000, 2000, 3000, 3300, 3400, 3500)
		},
		"such a request at a node that has just started": func(h *History) {
			h.askDeadly(0, 100, 200, 3300, 3400, 3500, 3600)
			h.Spans = append(h.Spans, Span{From: at(3000), To: at(3500), Fault: FaultKill})
		},
		"a drain of the former start": func(h *History) { h.Drained[startOf("i-1", 7)] = at(-10_000) },
		"a refusal of what was not run": func(h *History) {
			h.Requests[0].Status, h.Requests[0].Stamped = http.StatusServiceUnavailable, false
			h.Arrivals[0].Refused = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := served()
			change(&h)
			must.SliceEmpty(t, h.Violations())
		})
	}
}

func TestPlansAreDrawnFromTheSeed(t *testing.T) {
	a, b := NewPlan(7, 4, time.Minute), NewPlan(7, 4, time.Minute)
	must.Eq(t, a.String(), b.String())
	must.NotEq(t, a.String(), NewPlan(8, 4, time.Minute).String())
	seen := make(map[Fault]bool)
	for seed := range uint64(20) {
		for _, s := range NewPlan(seed, 4, time.Minute).Steps {
			seen[s.Fault] = true
			must.Between(t, 0, s.Node, 3)
			must.Between(t, shortest, s.For, longest)
		}
	}
	for _, f := range all {
		must.True(t, seen[f], must.Sprint(f, "is never drawn"))
	}
}
