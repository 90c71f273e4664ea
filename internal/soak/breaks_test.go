package soak

import (
	"testing"

	"github.com/shoenig/test/must"
)

// besideBreaks returns a history of a request that ran and got no answer beside answers that
// break off.
func besideBreaks() History {
	h := served()
	h.Spans = append(h.Spans, Span{From: at(-100), To: at(100), Fault: FaultBreakOff})
	h.Requests[0].Status, h.Requests[0].Behind = 0, true
	return h
}

// Guards against checks that miss answers which are lost with their connection.
func TestChecksOfLostAnswersCanFail(t *testing.T) {
	for name, c := range map[string]struct {
		check Check
		spoil func(h *History)
	}{
		"a whole answer beside planned work": {CheckReady, func(h *History) {
			h.Spans, h.Arrivals[0].Whole = h.Spans[:1], at(20)
		}},
		"a whole answer":                         {CheckReady, func(h *History) { h.Arrivals[0].Whole = at(20) }},
		"a whole answer after its head was sent": {CheckReady, func(h *History) { h.Arrivals[0].Whole, h.Requests[0].Headed = at(20), true }},
		"a whole answer of the second run": {CheckReady, func(h *History) {
			h.Requests[0].Idempotent, h.Requests[0].Headed = true, true
			h.Arrivals = append(h.Arrivals, h.Arrivals[0])
			h.Arrivals[1].Whole = at(20)
		}},
		"a request under way":                          {CheckBreaks, func(*History) {}},
		"a request under way after its head was sent":  {CheckBreaks, func(h *History) { h.Requests[0].Headed = true }},
		"an own answer that broke off before its head": {CheckBreaks, func(h *History) { h.Arrivals[0].Breaks = true }},
		"a request under way beside faults of the store": {CheckBreaks, func(h *History) {
			h.Spans = append(h.Spans, Span{From: at(-100), To: at(100), Fault: FaultStoreDown})
		}},
		"an own answer that breaks off beside planned work": {CheckPlanned, func(h *History) {
			h.Spans, h.Requests[0].Headed = h.Spans[:1], true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := besideBreaks()
			c.spoil(&h)
			found := h.Violations()
			must.Len(t, 1, found)
			must.Eq(t, c.check, found[0].Check)
		})
	}
}

func TestWhatMayBeLostBesideBreaks(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"the own answer broke off after its head": func(h *History) { h.Requests[0].Headed, h.Arrivals[0].Breaks = true, true },
		"no backend server got it":                func(h *History) { h.Arrivals = nil },
		"its node was killed": func(h *History) {
			h.Arrivals[0].Whole = at(20)
			h.Spans = append(h.Spans, Span{From: at(-100), To: at(100), Fault: FaultKill})
		},
		"its caller has left beside another fault": func(h *History) {
			h.Arrivals[0].Whole = at(20)
			h.Requests[0].Left = true
		},
		"its caller waited no longer beside another fault": func(h *History) {
			h.Arrivals[0].Whole = at(20)
			h.Requests[0].GaveUp = true
			h.Spans = append(h.Spans, Span{From: at(-100), To: at(100), Fault: FaultFreeze})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := besideBreaks()
			change(&h)
			must.SliceEmpty(t, h.Violations())
		})
	}
}

// Guards against connections that end beside faults of other nodes and that no check looks at.
func TestRequestThatWasPassedOnIsLookedForBesideOtherFaults(t *testing.T) {
	for name, other := range map[string]Span{
		"a cut of another node":         {Fault: FaultCutNode, Node: 1},
		"another node that is killed":   {Fault: FaultKill, Node: 1},
		"a backend server that crashes": {Fault: FaultCrash},
	} {
		t.Run(name, func(t *testing.T) {
			h := served()
			other.From, other.To = at(-100), at(100)
			h.Spans = append(h.Spans, other)
			h.Requests[0].Status = 0
			found := h.Violations()
			must.Len(t, 1, found)
			must.Eq(t, CheckKept, found[0].Check)
		})
	}
}
