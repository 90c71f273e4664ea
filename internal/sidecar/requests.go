package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/inbound"
	"github.com/jacinthgate/jacinthgate/transport/outbound"
)

// Settings of the path of a request.
const (
	// answerGrace is how long past its deadline the backend server's own late
	// answer is waited for: it is sent at the deadline.
	answerGrace = 30 * time.Millisecond
	// maxKept bounds the bodies that are kept, in bytes: both users' pages and
	// bookings fit, downloads do not.
	maxKept = 48 << 10
	// backendIdle is how long a connection to a backend server is kept that
	// doesn't say how long it keeps it.
	backendIdle = 4 * time.Second
	// gateIdle is how long a connection between nodes is kept idle.
	gateIdle = 20 * time.Second
	// gateDialTimeout bounds opening a connection to another node, which takes
	// a few milliseconds where the way is open, 70 ms between regions.
	gateDialTimeout = 150 * time.Millisecond
	// unackedTimeout is how long what was sent to a gate or to the backend server
	// may stay unacknowledged: twice the kernel's least time before it sends
	// once more, so that one lost packet ends no connection.
	unackedTimeout = 400 * time.Millisecond
	// backendIdleCheck and gateIdleCheck are the intervals at which idle connections to the
	// backend server and to gates are checked.
	backendIdleCheck = 500 * time.Millisecond
	gateIdleCheck    = 5 * time.Second
	// maxUnframedBody bounds a response whose length isn't known, in bytes: the size up to which
	// operators let callers send bodies.
	maxUnframedBody = 64 << 20
	// idlePerHost is the number of idle connections kept to one address: more
	// than the slots of a backend server are not used.
	idlePerHost = 32
	// drainPart is the part of the time to drain in which requests that other
	// nodes have sent meanwhile are still taken.
	drainPart = 4
)

// servicePolicy is how backend servers are used where the configuration says
// nothing.
func servicePolicy() route.Policy {
	// Half may be ejected: with three backend servers two remain. There is no slow
	// start: cold ones are told apart by what they take, and giving them a tenth
	// of their share sends more to other zones and leaves slots unused after a
	// restart of all hosts.
	return route.Policy{MaxEjected: 0.5}
}

// wireRequests wires the path of a request.
func (n *Node) wireRequests() error {
	n.budget = attempt.NewBudget(n.set.budget())
	runs := attempt.NewRuns()
	n.gate = n.newGate(runs)
	seed := rand.Uint64()
	n.loop.picker = balance.New(balance.DefaultConfig(), n.set.Zone, n.set.Region, seed)
	near, far := n.gateClients()
	n.loop.restarts.closeIdle = func(addr string) {
		near.CloseIdle(addr)
		far.CloseIdle(addr)
	}
	n.wireQuotas(near, far, seed)
	n.proxy = n.newProxy(runs, near, far, seed)
	n.showRequests()
	n.loop.gate = n.gate
	n.loop.budget = n.budget
	return nil
}

// newGate returns the gate in front of the own backend server.
func (n *Node) newGate(runs *attempt.Runs) *inbound.Gate {
	speech := platform.Dialect{}
	toBackend := forward.DefaultClientConfig()
	toBackend.IdleTimeout = backendIdle
	toBackend.IdleCheck = backendIdleCheck
	toBackend.MaxUnframedBody = maxUnframedBody
	toBackend.IdlePerHost = idlePerHost
	toBackend.LocalIP = n.localIP()
	toBackend.UnackedTimeout = unackedTimeout
	toBackend.Foreign = func(req *http.Request, resp *http.Response) bool {
		return speech.Foreign(req.Header, resp.Header)
	}
	return inbound.New(inbound.Config{
		Instance:          n.pub.instance.Load,
		Service:           n.pub.serviceConfig,
		Cold:              n.set.Cold.limits,
		ColdUnknown:       n.coldUnknown,
		Leaving:           n.backends.leavingStated,
		Evacuated:         n.ownZoneEvacuated,
		Weight:            n.weight,
		Dialect:           speech,
		Backend:           forward.NewClient(toBackend),
		ResponseShaper:    pace.New(pace.DefaultConfig(n.set.linkBits())),
		UploadShaper:      pace.New(pace.DefaultConfig(n.set.linkBits())),
		DrainGrace:        n.set.drain() / drainPart,
		AnswerGrace:       answerGrace,
		ResponseExtension: forward.DefaultResponseExtension,
		Runs:              runs,
		BudgetUsage:       n.budget.CalledUsage,
		Suspects:          n.pub.suspects.Load,
		Crashed:           n.crashed,
		Succeeded:         n.succeeded,
		Unreachable:       n.backends.unreachable,
		Replaced:          n.backends.replaced,
		Meter:             n.loop.meter,
		Routing:           n.pub.routing.Load,
		Metrics:           n.metrics,
		Logger:            n.log,
		Details:           n.details,
		Now:               time.Now,
	})
}

// ownZoneEvacuated reports whether the gate refuses requests because its zone is evacuated.
func (n *Node) ownZoneEvacuated() bool {
	return n.pub.ownZoneEvacuated(time.Now(), n.set.evacuate()/drainPart)
}

// gateClients returns what sends to gates of the own availability zone, and to those of others.
func (n *Node) gateClients() (near, far *forward.Client) {
	toGates := forward.DefaultClientConfig()
	toGates.IdleTimeout = gateIdle
	toGates.IdleCheck = gateIdleCheck
	toGates.MaxUnframedBody = maxUnframedBody
	toGates.DropSilent = true
	toGates.DialTimeout = gateDialTimeout
	toGates.IdlePerHost = idlePerHost
	toGates.LocalIP = n.localIP()
	toGates.UnackedTimeout = unackedTimeout
	toZones := toGates
	toZones.PackHeads = true
	n.countBytes(&toGates, "own")
	n.countBytes(&toZones, "other")
	return forward.NewClient(toGates), forward.NewClient(toZones)
}

// countBytes sets the counters of bytes sent to gates and received from them. zone is "own" or
// "other".
func (n *Node) countBytes(cfg *forward.ClientConfig, zone string) {
	counter := func(direction string) *metrics.Counter {
		return n.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthgate_gate_bytes_total{zone=%q,direction=%q}", zone, direction))
	}
	cfg.Sent, cfg.Received = counter("sent"), counter("received")
}

// newProxy returns what takes the requests of callers.
func (n *Node) newProxy(runs *attempt.Runs, near, far *forward.Client, seed uint64) *outbound.Proxy {
	return outbound.New(outbound.Config{
		Self:              n.set.Node,
		Zone:              n.set.Zone,
		Table:             n.pub.table.Load,
		View:              n.pub.view.Load,
		Routing:           n.pub.routing.Load,
		CallerService:     n.callerService,
		Balance:           n.loop.picker,
		Policy:            attempt.DefaultPolicy(),
		Budget:            n.budget,
		Freshness:         n.loop.proving.currency(),
		Quotas:            n.quotas.limits(),
		Runs:              runs,
		Leaving:           n.stated,
		Suspects:          n.pub.suspects.Load,
		Trials:            n.trials,
		Dialect:           platform.Dialect{},
		Local:             n.gate,
		Near:              near,
		Far:               far,
		MaxBodyBuffer:     maxKept,
		ResponseExtension: forward.DefaultResponseExtension,
		Seed:              seed,
		Metrics:           n.metrics,
		Logger:            n.log,
		Details:           n.details,
		Now:               time.Now,
	})
}

// showRequests registers the gauges of the path of a request.
func (n *Node) showRequests() {
	n.metrics.GetOrCreateGauge("jacinthgate_requests_quarantined", func() float64 { return float64(n.pub.suspects.Load().Quarantines()) })
	n.metrics.GetOrCreateGauge("jacinthgate_requests_suspected", func() float64 { return float64(n.pub.suspects.Load().Len()) })
	n.metrics.GetOrCreateGauge("jacinthgate_zones_unreachable", func() float64 { return float64(n.loop.picker.UnreachableZones()) })
}
