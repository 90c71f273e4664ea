package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// statementHistory returns a history in which node 0 passes on an answer of a backend server that
// states a limit of two a second and, if leaves is set, that it leaves.
func statementHistory(leaves bool) History {
	h := served()
	h.Limits = map[string][]LimitSpan{startOf("i-cold", 7): {{From: at(0), To: at(20_000), PerSecond: 2}}}
	h.passOn("first", 0, at(150), true, leaves)
	return h
}

// passOn adds a request that begins at a node, arrives at backend server i-cold and is answered.
func (h *History) passOn(id string, node int, when time.Time, limited, leaving bool) {
	h.arrive(id, when)
	r := &h.Requests[len(h.Requests)-1]
	r.Node, r.Status, r.Stamped, r.Body, r.Limited, r.Leaving = node, 200, true, Answer("i-cold", r.Path), limited, leaving
}

// burst lets requests that begin at a node arrive within a second.
func (h *History) burst(node, requests int, when time.Time) {
	for i := range requests {
		h.passOn("b"+strconv.Itoa(node)+"-"+strconv.Itoa(i), node, when.Add(time.Second*time.Duration(i)/time.Duration(requests)), false, false)
	}
}

// Guards against checks that miss a stated limit that isn't kept, or requests to a backend server
// that states to be leaving.
func TestChecksOfStatementsCanFail(t *testing.T) {
	const allowed = 2*1.5*4 + 5
	for name, c := range map[string]struct {
		check  Check // empty for none
		leaves bool
		spoil  func(h *History)
	}{
		"as many as allowed":           {"", false, func(h *History) { h.burst(0, allowed, at(4000)) }},
		"one more":                     {CheckLimit, false, func(h *History) { h.burst(0, allowed+1, at(4000)) }},
		"over the edge of two seconds": {CheckLimit, false, func(h *History) { h.burst(0, allowed+1, at(7500)) }},
		"before the limit holds":       {"", false, func(h *History) { h.burst(0, allowed+1, at(1500)) }},
		"from a node that wasn't told": {"", false, func(h *History) { h.burst(1, allowed+1, at(4000)) }},
		"in sum over nodes": {CheckLimit, false, func(h *History) {
			h.passOn("x", 1, at(150), true, false)
			h.burst(0, 9, at(4000))
			h.burst(1, 9, at(4000))
		}},
		"from a node that has started since":  {"", false, func(h *History) { h.spoilNode(FaultKill, 0); h.burst(0, allowed+1, at(4000)) }},
		"from a node that was cut off since":  {"", false, func(h *History) { h.spoilNode(FaultCutNode, 0); h.burst(0, allowed+1, at(4000)) }},
		"the gate's node has started since":   {CheckLimit, false, func(h *History) { h.spoilNode(FaultKill, 1); h.burst(0, allowed+1, at(4000)) }},
		"to a leaving one in time":            {"", true, func(h *History) { h.burst(0, 1, at(2100)) }},
		"to a leaving one":                    {CheckLeaving, true, func(h *History) { h.burst(0, 1, at(2200)) }},
		"to a leaving one, cut off":           {CheckLeaving, true, func(h *History) { h.spoilNode(FaultCutNode, 0); h.burst(0, 1, at(2200)) }},
		"to a leaving one, from another node": {"", true, func(h *History) { h.burst(1, 1, at(2200)) }},
		"to a leaving one, after a freeze":    {"", true, func(h *History) { h.spoilNode(FaultFreeze, 0); h.burst(0, 1, at(2200)) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := statementHistory(c.leaves)
			c.spoil(&h)
			found := h.Violations()
			if c.check == "" {
				must.SliceEmpty(t, found)
				return
			}
			must.Len(t, 1, found)
			must.Eq(t, c.check, found[0].Check)
		})
	}
}

// spoilNode disturbs a node after it has passed on the first answer.
func (h *History) spoilNode(f Fault, node int) {
	h.Spans = append(h.Spans, Span{From: at(1100), To: at(1200), Fault: f, Node: node})
}
