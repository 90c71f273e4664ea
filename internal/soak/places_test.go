package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// evacuationHistory returns a history in which a backend server is cold for two seconds and gets
// the given number of requests evenly over the first, and its zone is evacuated later.
func evacuationHistory(requests int) History {
	h := served()
	h.Arrivals[0].Zone = "z"
	h.ColdSpans = map[string][]Span{startOf("i-cold", 7): {{From: at(0), To: at(2000)}}}
	h.Evacuations = []Evacuation{{Zone: "z", From: at(60_000), To: at(70_000)}}
	for i := range requests {
		h.arrive("c"+strconv.Itoa(i), begin.Add(time.Second*time.Duration(i)/time.Duration(requests)))
	}
	return h
}

// arrive adds a request that arrives at backend server i-cold.
func (h *History) arrive(id string, when time.Time) {
	h.Requests = append(h.Requests, Request{
		ID: id, Method: "GET", Path: "/status/" + id, Service: "rooms", Idempotent: true, Sent: when, Done: when.Add(time.Millisecond),
		Status: 502,
	})
	h.Arrivals = append(h.Arrivals, Arrival{Server: "i-cold", Born: 7, Zone: "z", ID: id, Method: "GET", Path: "/status/" + id, Caller: "rooms", At: when})
}

// Guards against checks that miss overloaded cold backend servers and requests to evacuated zones.
func TestChecksOfColdServersAndEvacuationsCanFail(t *testing.T) {
	good := evacuationHistory(23)
	good.arrive("warm", at(2001))
	good.arrive("within-margin", at(62_500))
	good.arrive("after-evacuation", at(70_001))
	must.SliceEmpty(t, good.Violations())
	for name, c := range map[string]struct {
		check    Check
		requests int
		spoil    func(h *History)
	}{
		"rate limit exceeded while cold": {CheckCold, 24, func(*History) {}},
		"request to an evacuated zone":   {CheckEvacuated, 0, func(h *History) { h.arrive("late", at(64_000)) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := evacuationHistory(c.requests)
			c.spoil(&h)
			found := h.Violations()
			must.Len(t, 1, found)
			must.Eq(t, c.check, found[0].Check)
		})
	}
	disturbed := evacuationHistory(0)
	disturbed.arrive("late", at(64_000))
	disturbed.Spans = []Span{{From: at(61_000), To: at(62_000), Fault: FaultCutStore}}
	must.SliceEmpty(t, disturbed.Violations(), must.Sprint("a node that was cut off from the store may miss the order"))
}
