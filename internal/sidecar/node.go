package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/registry"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/callers"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/inbound"
	"github.com/jacinthgate/jacinthgate/transport/keepalive"
	"github.com/jacinthgate/jacinthgate/transport/link"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/outbound"
	"github.com/jacinthgate/jacinthgate/transport/peer/tcp"
)

// published is what the control plane hands to the path of a request. One
// goroutine stores, everybody loads.
type published struct {
	table atomic.Pointer[route.Table]
	// newest is the newest version of the configuration known, in force or not.
	newest   atomic.Uint64
	view     atomic.Pointer[endpoint.View]
	instance atomic.Pointer[instance.Instance]
	suspects atomic.Pointer[suspect.View]
	routing  atomic.Pointer[rollout.RoutingTable]
	// evacuations are the evacuated zones; nil before the first evacuation.
	evacuations atomic.Pointer[evacuations]
	// departures are the instances that have departed while their nodes may still offer them; nil
	// before the first.
	departures atomic.Pointer[departures]
	// leaving is set when the node takes no more callers, withdrawn when it also
	// offers the backend server no more.
	leaving, withdrawn atomic.Bool
}

// Node is one running node.
type Node struct {
	set     *Settings
	path    string // of the settings file
	log     log.Logger
	details log.Logger // of lines that give way to those of log
	// stateLog is for lines that lines about requests may not crowd out.
	stateLog log.Logger
	metrics  *metrics.Set
	pub      *published

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
	// gateServer is what serves the gate.
	gateServer *keepalive.Server

	// own are the rows that only this node writes.
	own    ownRows
	trials *trials
	// undrained is signalled when the store has not taken a drain.
	undrained chan struct{}
	// startDelay is when the node first looks for others after its start.
	startDelay time.Duration

	ctx    context.Context
	cancel context.CancelFunc
}

// Logs are where a node writes its log lines.
type Logs struct {
	// Lines gets all lines but those of the others.
	Lines log.Logger
	// Details gets the lines on attempts that are part of a request.
	Details log.Logger
	// State gets the lines on the node's configuration and its reads of the store.
	State log.Logger
	// Dropped counts the lines that were not written.
	Dropped func() uint64
}

// New opens the node's addresses and wires its parts. Nothing runs before Run.
// path is the settings file, read again when it changes. The error is a *listen.Error.
func New(set *Settings, path string, logs Logs) (*Node, error) {
	n := &Node{
		set: set, path: path, log: logs.Lines, details: logs.Details, stateLog: logs.State,
		metrics: metrics.NewSet(), pub: new(published), undrained: make(chan struct{}, 1),
		trials: newTrials(),
	}
	n.metrics.GetOrCreateGauge("jacinthgate_log_lines_dropped", func() float64 { return float64(logs.Dropped()) })
	n.metrics.GetOrCreateGauge("jacinthgate_config_newest_version", func() float64 { return float64(n.pub.newest.Load()) })
	n.startDelay = registry.DefaultConfig().StartDelay(set.FirstStart, rand.Float64())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	store := platform.DefaultStoreConfig("http://" + set.Store)
	store.LocalIP = n.localIP()
	store.OnCall = n.countStoreCall
	store.Wrap = forward.CheckedTransport
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

// countStoreCall counts a call of the store by its name and table.
func (n *Node) countStoreCall(call, table string) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf("jacinthgate_store_calls_total{call=%q,table=%q}", call, table)).Inc()
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

// Run serves until a signal asks it to stop or until a part fails.
func (n *Node) Run(caught *signals.Signals) error {
	var g run.Group
	n.addActor(&g, n.loop.run)
	n.addActor(&g, n.runLinks)
	n.addActor(&g, n.loop.reader.run)
	n.addActor(&g, n.discover)
	n.addActor(&g, n.recordSuspects)
	n.addActor(&g, n.claimTrials)
	n.addActor(&g, n.recordRollouts)
	n.addActor(&g, n.recordOwn)
	n.addActor(&g, n.recordDrains)
	for _, s := range n.servers {
		n.addServer(&g, s)
	}
	n.addSignals(&g, caught)
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

// serviceConfig returns the configuration of a service; zero when it isn't known.
func (p *published) serviceConfig(service string) route.Service {
	if t := p.table.Load(); t != nil {
		return t.ServiceConfig(service)
	}
	return route.Service{}
}

// weight returns the weight of an organisation.
func (n *Node) weight(organisation string) float64 {
	if t := n.pub.table.Load(); t != nil {
		return t.Weight(organisation)
	}
	return 1
}

// callerService returns the service of the host, for which its callers' requests are sent.
func (n *Node) callerService() string {
	if s := n.backends.hostService(); s != "" {
		return s
	}
	if i := n.pub.instance.Load(); i != nil {
		return i.Service
	}
	return ""
}

// ready reports whether the node takes callers.
func (n *Node) ready() bool { return n.pub.table.Load() != nil && !n.pub.leaving.Load() }
