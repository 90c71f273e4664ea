package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/coordination/registry"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/callers"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/inbound"
	"github.com/jacinthgate/jacinthgate/transport/link"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/outbound"
	"github.com/jacinthgate/jacinthgate/transport/peer/tcp"
)

// published is what the control plane hands to the path of a request. One
// goroutine stores, everybody loads.
type published struct {
	table    atomic.Pointer[route.Table]
	view     atomic.Pointer[endpoint.View]
	instance atomic.Pointer[instance.Instance]
	suspects atomic.Pointer[suspect.View]
	lanes    atomic.Pointer[rollout.Lanes]
	// leaving is set when the node takes no more callers, withdrawn when it also
	// offers the backend server no more.
	leaving, withdrawn atomic.Bool
}

// Node is one running node.
type Node struct {
	set     *Settings
	path    string // of the settings file
	log     log.Logger
	metrics *metrics.Set
	pub     *published

	store    *platform.Store
	peers    *tcp.Transport
	links    *link.Manager
	loop     *loop
	backends *backends
	budget   *attempt.Budget
	quotas   *quotas
	gate     *inbound.Gate
	proxy    *outbound.Proxy
	// listeners are the open addresses by the name of their setting.
	listeners map[string]*listen.Listener
	servers   []*server
	callers   *server
	front     *callers.Server // what serves callers
	gates     *server

	// own are the rows that only this node writes.
	own ownRows
	// startDelay is when the node first looks for others after its start.
	startDelay time.Duration

	ctx    context.Context
	cancel context.CancelFunc
}

// New opens the node's addresses and wires its parts. Nothing runs before Run.
// path is the settings file, read again when it changes; dropped counts the log
// lines that were not written. The error is a *listen.Error.
func New(set *Settings, path string, logger log.Logger, dropped func() uint64) (*Node, error) {
	n := &Node{set: set, path: path, log: logger, metrics: metrics.NewSet(), pub: new(published)}
	n.metrics.GetOrCreateGauge("jacinthgate_log_lines_dropped", func() float64 { return float64(dropped()) })
	n.startDelay = registry.DefaultConfig().StartDelay(set.FirstStart, rand.Float64())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	store := platform.DefaultStoreConfig("http://" + set.Store)
	store.LocalIP = n.localIP()
	n.store = platform.NewStore(store)
	steps := []func() error{n.openListeners, n.openPeers, n.wireControl, n.wireRequests, n.wireServers}
	for _, step := range steps {
		if err := step(); err != nil {
			n.close()
			return nil, err
		}
	}
	return n, nil
}

// localIP is the address that connections leave from.
func (n *Node) localIP() net.IP { return n.set.ip().AsSlice() }

func (n *Node) close() {
	n.cancel()
	for _, ln := range n.listeners {
		_ = ln.Close() // the process is about to end
	}
	for _, s := range n.servers {
		_ = s.http.Close() // likewise
	}
	if n.peers != nil {
		_ = n.peers.Close() // likewise
	}
}

// Run serves until SIGTERM or until a part fails.
func (n *Node) Run() error {
	var g run.Group
	n.addActor(&g, n.loop.run)
	n.addActor(&g, n.runLinks)
	n.addActor(&g, n.loop.reader.run)
	n.addActor(&g, n.discover)
	n.addActor(&g, n.recordQuarantines)
	n.addActor(&g, n.recordRollouts)
	n.addActor(&g, n.recordOwn)
	for _, s := range n.servers {
		n.addServer(&g, s)
	}
	n.addSignals(&g)
	_ = n.log.Log("event", "sidecar_started", "node", n.set.Node, "zone", n.set.Zone,
		"incarnation", n.loop.self.Incarnation, "callers", n.set.Listen.Callers, "gate", n.set.Listen.Gate)
	err := g.Run()
	n.close()
	return err
}

// addActor adds a part that runs until its context ends.
func (n *Node) addActor(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(n.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds a server. After a graceful shutdown the actor waits until the
// whole node stops.
func (n *Node) addServer(g *run.Group, s *server) {
	stop := make(chan struct{})
	execute := func() error {
		if err := s.serve(); err != nil {
			return err
		}
		<-stop
		return nil
	}
	interrupt := func(error) {
		close(stop)
		_ = s.http.Close() // the node stops: nothing is left to do about it
	}
	g.Add(execute, interrupt)
}

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
	speech := platform.Dialect{}
	n.budget = attempt.NewBudget(n.set.budget())
	runs := attempt.NewRuns()
	toBackend := forward.DefaultClientConfig()
	toBackend.IdleTimeout = backendIdle
	toBackend.IdlePerHost = idlePerHost
	toBackend.LocalIP = n.localIP()
	toBackend.UnackedTimeout = unackedTimeout
	toBackend.Foreign = func(req *http.Request, resp *http.Response) bool {
		return speech.Foreign(req.Header, resp.Header)
	}
	n.gate = inbound.New(inbound.Config{
		Instance:    n.pub.instance.Load,
		Connections: n.connections,
		Weight:      n.weight,
		Dialect:     speech,
		Backend:     forward.NewClient(toBackend),
		Lane:        pace.New(pace.DefaultConfig(n.set.linkBits())),
		DrainGrace:  n.set.drain() / drainPart,
		AnswerGrace: answerGrace,
		Runs:        runs,
		Strain:      n.budget.Strain,
		Suspects:    n.pub.suspects.Load,
		Crashed:     n.crashed,
		Succeeded:   n.succeeded,
		Unreachable: n.backends.unreachable,
		Replaced:    n.backends.replaced,
		Meter:       n.loop.meter,
		Lanes:       n.pub.lanes.Load,
		Metrics:     n.metrics,
		Logger:      n.log,
		Now:         time.Now,
	})
	toGates := forward.DefaultClientConfig()
	toGates.IdleTimeout = gateIdle
	toGates.DialTimeout = gateDialTimeout
	toGates.IdlePerHost = idlePerHost
	toGates.LocalIP = n.localIP()
	toGates.UnackedTimeout = unackedTimeout
	toZones := toGates
	toZones.PackHeads = true
	seed := rand.Uint64()
	n.loop.picker = balance.New(balance.DefaultConfig(), n.set.Zone, n.set.Region, seed)
	near, far := forward.NewClient(toGates), forward.NewClient(toZones)
	n.wireQuotas(near, far, seed)
	n.proxy = outbound.New(outbound.Config{
		Self:          n.set.Node,
		Zone:          n.set.Zone,
		Table:         n.pub.table.Load,
		View:          n.pub.view.Load,
		Lanes:         n.pub.lanes.Load,
		CallerService: n.callerService,
		Balance:       n.loop.picker,
		Policy:        attempt.DefaultPolicy(),
		Budget:        n.budget,
		Currency:      n.loop.proving.currency(),
		Quotas:        n.quotas.limits(),
		Runs:          runs,
		Suspects:      n.pub.suspects.Load,
		Dialect:       speech,
		Local:         n.gate,
		Near:          near,
		Far:           far,
		MaxKept:       maxKept,
		Seed:          seed,
		Metrics:       n.metrics,
		Logger:        n.log,
		Now:           time.Now,
	})
	n.metrics.GetOrCreateGauge("jacinthgate_requests_quarantined", func() float64 { return float64(n.pub.suspects.Load().Quarantines()) })
	n.metrics.GetOrCreateGauge("jacinthgate_requests_suspected", func() float64 { return float64(n.pub.suspects.Load().Len()) })
	n.metrics.GetOrCreateGauge("jacinthgate_zones_unreachable", func() float64 { return float64(n.loop.picker.Unreachable()) })
	n.loop.gate = n.gate
	n.loop.budget = n.budget
	return nil
}

// connections returns how many connections a backend server of a service
// accepts; 0 when that isn't known.
func (n *Node) connections(service string) int {
	if t := n.pub.table.Load(); t != nil {
		return t.Connections(service)
	}
	return 0
}

// weight returns the weight of an organisation.
func (n *Node) weight(organisation string) float64 {
	if t := n.pub.table.Load(); t != nil {
		return t.Weight(organisation)
	}
	return 1
}

// callerService returns the service of the host's backend server.
func (n *Node) callerService() string {
	if i := n.pub.instance.Load(); i != nil {
		return i.Service
	}
	return n.set.Service
}

// ready reports whether the node takes callers.
func (n *Node) ready() bool { return n.pub.table.Load() != nil && !n.pub.leaving.Load() }
