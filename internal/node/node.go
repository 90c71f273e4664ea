package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/internal/claims"
	"github.com/jacinthgate/jacinthgate/internal/collector"
	"github.com/jacinthgate/jacinthgate/internal/control"
	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/internal/signals"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/transport/entry"
	"github.com/jacinthgate/jacinthgate/transport/gate"
	"github.com/jacinthgate/jacinthgate/transport/link"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/local"
	"github.com/jacinthgate/jacinthgate/transport/peer/quic"
)

// Node is one running node.
type Node struct {
	set     *settings.Node
	log     log.Logger
	metrics *metrics.Set
	self    endpoint.Record
	pub     *published

	identity  *identity
	peers     *quic.Transport
	links     *link.Manager
	loop      *loop
	registry  *local.Registry
	accepter  *control.Accepter
	collector *control.Collector
	keeper    *claims.Keeper
	retrier   *retry.Retrier
	limiter   *admit.Limiter
	picker    *balance.Picker
	proxy     *entry.Proxy
	gate      *gate.Gate

	gauges *gauges

	callerLn    net.Listener
	callerRaw   *listen.Listener // what callerLn accepts from
	gateSrv     *server
	localSrv    *server
	operatorSrv *server

	// ctx ends when the node has stopped; calls in the background use it.
	ctx    context.Context
	cancel context.CancelFunc
}

// New opens the node's addresses and wires its parts. Nothing runs before Run.
// dropped counts the log lines that were not written. The errors are *listen.Error and those of the certificates.
func New(set *settings.Node, logger log.Logger, dropped func() uint64) (*Node, error) {
	n := &Node{set: set, log: logger, metrics: metrics.NewSet(), pub: new(published)}
	n.metrics.GetOrCreateGauge("jacinthgate_log_lines_dropped", func() float64 { return float64(dropped()) })
	n.gauges = newGauges(n.metrics, n.pub)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	steps := []func() error{n.openIdentity, n.openListeners, n.wireControl, n.wireRequests, n.wireOperator}
	for _, step := range steps {
		if err := step(); err != nil {
			n.close()
			return nil, err
		}
	}
	return n, nil
}

// close releases what New has opened.
func (n *Node) close() {
	n.cancel()
	if n.callerLn != nil {
		_ = n.callerLn.Close() // the process is about to end
	}
	for _, s := range []*server{n.gateSrv, n.localSrv, n.operatorSrv} {
		if s != nil {
			_ = s.ln.Close() // likewise
		}
	}
	if n.peers != nil {
		_ = n.peers.Close() // likewise
	}
}

// Run serves until a signal arrives or a part fails. The first SIGTERM or
// SIGINT lets requests in flight finish; the second ends the node at once.
func (n *Node) Run(caught *signals.Signals) error {
	var g run.Group
	n.addActor(&g, n.loop.run)
	n.addActor(&g, n.runLinks)
	n.addActor(&g, n.gate.Run)
	n.addActor(&g, n.tickRequests)
	n.addActor(&g, n.identity.run)
	n.addActor(&g, n.housekeep)
	n.addActor(&g, func(ctx context.Context) error { return collector.Run(ctx, collector.DefaultConfig()) })
	n.addServer(&g, func() error { return n.proxy.Serve(n.callerLn) }, n.callerLn.Close)
	for _, s := range []*server{n.gateSrv, n.localSrv, n.operatorSrv} {
		if s != nil {
			n.addServer(&g, s.serve, s.keep.Close)
		}
	}
	n.addSignals(&g, caught)
	n.logStart()
	err := g.Run()
	n.close()
	return err
}

// addActor adds a part that runs until its context ends.
func (n *Node) addActor(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(n.ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds a server. It may return without an error when it is shut down
// gracefully; the actor then waits until the whole node stops.
func (n *Node) addServer(g *run.Group, serve func() error, closeNow func() error) {
	stop := make(chan struct{})
	execute := func() error {
		if err := serve(); err != nil {
			return err
		}
		<-stop
		return nil
	}
	interrupt := func(error) {
		close(stop)
		_ = closeNow() // the node stops: nothing is left to do about it
	}
	g.Add(execute, interrupt)
}

func (n *Node) logStart() {
	keyvals := []any{
		"event", "node_started",
		"node", n.set.Node,
		"zone", n.set.Zone,
		"incarnation", n.self.Incarnation,
		"caller", n.callerLn.Addr(),
		"gate", n.gateSrv.addr(),
		"peer", n.peers.Addr(),
		"local", n.localSrv.addr(),
	}
	if n.operatorSrv != nil {
		keyvals = append(keyvals, "operator", n.operatorSrv.addr())
	}
	_ = n.log.Log(keyvals...)
}

// announce tells the fleet what the host's backend server said. The gate follows
// first: other nodes send requests as soon as they know.
func (n *Node) announce(a local.Announcement) {
	_ = n.log.Log("event", "backend_announced", "service", a.Service, "addr", a.Addr, "draining", a.Draining)
	n.gate.Update()
	n.loop.queue.Post(n.ctx, member.Announce{
		Service:     a.Service,
		Slots:       a.Slots,
		Connections: a.Connections,
		Draining:    a.Draining,
	})
}

// swapped brings the limits of a new version into force.
func (n *Node) swapped(s *snapshot.Snapshot) {
	n.limiter.Update(s)
	n.retrier.Update(s)
	n.gate.Update()
}

// requestTick is the time between two looks at what ages on the path of a
// request.
const requestTick = 100 * time.Millisecond

// tickRequests keeps limits and announcements up to date.
func (n *Node) tickRequests(ctx context.Context) error {
	ticker := time.NewTicker(requestTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.limiter.Tick()
			n.registry.Tick()
		case <-ctx.Done():
			return nil
		}
	}
}

// localHandler serves the host's own loopback address.
func (n *Node) localHandler(operator http.Handler) http.Handler {
	mux := http.NewServeMux()
	health := n.healthHandler()
	mux.Handle("/healthz", health)
	mux.Handle("/readyz", health)
	mux.Handle("/metrics", health)
	mux.Handle("/v1/", operator)
	mux.Handle("/", n.registry.Handler())
	return mux
}
