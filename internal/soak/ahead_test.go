package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// The route's timeout is over before the time that the caller waits.
func TestNodeThatStopsMayAnswerAtTheTimeout(t *testing.T) {
	h := served()
	h.asksToStop(-1000, 0, 900, http.StatusGatewayTimeout)
	must.Len(t, 1, h.Violations())
	h.Requests[0].Due = 800 * time.Millisecond
	must.SliceEmpty(t, h.Violations())
}

// drawn returns the faults that plans of twenty seeds have. The same seed gives the same plan.
func drawn(t *testing.T, plan func(seed uint64) Plan) map[Fault]bool {
	t.Helper()
	seen := make(map[Fault]bool)
	for seed := range uint64(20) {
		p := plan(seed)
		must.Eq(t, p.String(), plan(seed).String())
		for _, s := range p.Steps {
			seen[s.Fault] = true
		}
	}
	return seen
}

func TestAheadPlansBreakOffOnlyWhereAsked(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		seen := drawn(t, func(seed uint64) Plan {
			p := NewAheadPlan(seed, 4, time.Minute, breaks)
			must.True(t, p.Ahead)
			return p
		})
		must.Eq(t, breaks, seen[FaultBreakOff])
		for _, f := range pipelined {
			must.True(t, seen[f], must.Sprint(f, "is never drawn"))
		}
	}
}

// Guards against series of versions that leave timeouts as they are.
func TestVersionsChangeTimeouts(t *testing.T) {
	var before route.Config
	for version := 1; version <= 10; version++ {
		c, err := platform.DecodeConfig(aheadConfig(version, []platformtest.Route{{Host: routeHost, Prefix: "/status/", Kind: platformtest.Idempotent, Service: services[0]}}))
		must.NoError(t, err)
		must.SliceEmpty(t, c.Faults)
		must.Len(t, 2, c.Routes)
		must.GreaterEq(t, dueFor("/status/x"), c.Routes[0].Timeout)
		must.GreaterEq(t, dueFor(slowPrefix+"x"), c.Routes[1].Timeout)
		must.Greater(t, slowest+serverWork[services[1]], c.Routes[1].Timeout)
		if version > 1 {
			must.NotEq(t, before.Limits.IdleTimeout, c.Limits.IdleTimeout)
			must.NotEq(t, before.Routes[0].Timeout, c.Routes[0].Timeout)
		}
		before = c
	}
}
