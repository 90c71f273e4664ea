package node

import (
	"cmp"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/coordination/retry"
	"github.com/jacinthgate/jacinthgate/internal/claims"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/store"
	"github.com/jacinthgate/jacinthgate/state/suspect"
	"github.com/jacinthgate/jacinthgate/transport/entry"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/gate"
	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/operatorapi"
)

func (n *Node) openIdentity() error {
	id, err := newIdentity(n.set, n.log, n.metrics)
	n.identity = id
	return err
}

// openListeners opens every address, so that the node's record can name the
// ports that the kernel chose.
func (n *Node) openListeners() error {
	callers, err := net.Listen("tcp", n.set.Listen.Caller)
	if err != nil {
		return &listen.Error{Name: "caller", Addr: n.set.Listen.Caller, Err: err}
	}
	n.callerRaw = listen.New(callers)
	n.callerLn = newCappedListener(n.callerRaw, n.set.Limits.Connections, n.metrics)
	n.gateSrv, err = openServer(serverConfig{
		name:           "gate",
		addr:           n.set.Listen.Gate,
		closeNotice:    forward.ConnectionClosing(),
		tls:            n.identity.gateServer(),
		maxHeaderBytes: n.set.Limits.HeaderBytes,
		logger:         n.log,
	})
	if err != nil {
		return err
	}
	n.localSrv, err = openServer(serverConfig{
		name:           "local",
		addr:           n.set.Listen.Local,
		maxHeaderBytes: n.set.Limits.HeaderBytes,
		logger:         n.log,
	})
	if err != nil {
		return err
	}
	if n.set.Operator != "" {
		n.operatorSrv, err = openServer(serverConfig{
			name:           "operator",
			addr:           n.set.Operator,
			tls:            n.identity.operatorServer(),
			maxHeaderBytes: n.set.Limits.HeaderBytes,
			maxConns:       maxOperatorConns,
			logger:         n.log,
		})
	}
	return err
}

// record returns the node's first record. Its incarnation is the time of its
// start; a clock that went back is found by the peers and corrected.
func (n *Node) record(peerAddr string) endpoint.Record {
	return endpoint.Record{
		Node:        n.set.Node,
		Zone:        n.set.Zone,
		Region:      n.set.Region,
		PeerAddr:    cmp.Or(n.set.Advertise.Peer, peerAddr),
		GateAddr:    cmp.Or(n.set.Advertise.Gate, n.gateSrv.addr()),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// wireRequests wires the path of a request.
func (n *Node) wireRequests() error {
	gateTransport := n.newGateTransport()
	n.retrier = retry.New(retry.DefaultConfig(), n.seed())
	n.picker = balance.New(balance.DefaultConfig(), n.set.Zone, n.set.Region, n.seed())
	n.registry.OnChange(n.announce)
	n.wireGate()
	n.proxy = entry.New(n.entryConfig(gateTransport))
	return nil
}

// newGateTransport returns a client for calls to the gates of other nodes.
// They leave from the address that the own gate listens on.
func (n *Node) newGateTransport() *forward.Client {
	cfg := forward.DefaultClientConfig()
	if a, err := netip.ParseAddrPort(n.set.Listen.Gate); err == nil && !a.Addr().IsUnspecified() {
		cfg.LocalIP = a.Addr().AsSlice()
	}
	cfg.TLS = n.identity.gateClient()
	return forward.NewClient(cfg)
}

func (n *Node) wireGate() {
	cfg := gate.DefaultConfig()
	cfg.Self = n.set.Node
	cfg.Announcement = n.registry.Current
	cfg.Service = n.pub.Service
	cfg.MaxQueue = n.set.Limits.Queue
	cfg.Suspects = n.pub.suspects.Load
	cfg.Crashed = func(c suspect.Crash, fingerprints []suspect.Fingerprint) {
		n.loop.queue.Post(n.ctx, quarantine.Crashed{Crash: c, Fingerprints: fingerprints})
	}
	cfg.Succeeded = func(f suspect.Fingerprint) { n.loop.queue.Post(n.ctx, quarantine.Succeeded{Fingerprint: f}) }
	cfg.Metrics = n.metrics
	cfg.Logger = n.log
	n.gate = gate.New(cfg)
}

func (n *Node) entryConfig(gateTransport http.RoundTripper) entry.Config {
	cfg := entry.DefaultConfig()
	cfg.Self = n.set.Node
	cfg.Zone = n.set.Zone
	cfg.Region = n.set.Region
	cfg.Seed = n.seed()
	cfg.Snapshot = n.pub.Snapshot
	cfg.View = n.pub.View
	cfg.Ready = n.pub.Ready
	cfg.Suspects = n.pub.suspects.Load
	cfg.Admit = n.limiter
	cfg.Balance = n.picker
	cfg.Retry = n.retrier
	cfg.Claim = claimer{keeper: n.keeper}
	cfg.Gate = gateTransport
	cfg.GateScheme = n.identity.gateScheme()
	cfg.MaxHeaderBytes = n.set.Limits.HeaderBytes
	cfg.Metrics = n.metrics
	cfg.Logger = n.log
	if n.set.Older != nil {
		cfg.OlderAddr = n.set.Older.Address
	}
	return cfg
}

// wireOperator wires the operators' interface, the host's own address and the
// handler of the gate's address.
func (n *Node) wireOperator() error {
	gateTransport := n.newGateTransport()
	d := &drainer{self: n.set.Node, registry: n.registry, gate: gateTransport, scheme: n.identity.gateScheme()}
	api := withOperator(operatorapi.New(&operatorDelegate{
		self:     n.set.Node,
		accepter: n.accepter,
		loop:     n.loop,
		pub:      n.pub,
		drainer:  d,
		audit:    audit{n.log},
	}))
	n.gateSrv.http.Handler = d.gateHandler(n.gate)
	n.localSrv.http.Handler = n.localHandler(api)
	if n.operatorSrv != nil {
		n.operatorSrv.http.Handler = api
	}
	return nil
}

// platformConns bounds the connections to the table service and to the object
// store, each: a slow platform is not met with ever more of them, and a node has
// a few calls under way at a time.
const platformConns = 8

// platformClients returns the clients of the table service and of the object
// store.
func (n *Node) platformClients() (store.Table, store.Objects) {
	set := &n.set.Platform
	client := func(url string) *platform.Store {
		cfg := platform.DefaultStoreConfig(url)
		cfg.MaxConns = platformConns
		cfg.Wrap = forward.CheckedTransport
		return platform.NewStore(cfg)
	}
	tables := platform.NewTables(client(set.Table), set.Prefix, set.Timeout.Std())
	return tables, platform.NewObjects(client(set.Objects), set.Prefix, set.Timeout.Std())
}

// newKeeper returns the keeper of claims.
func (n *Node) newKeeper(table store.Table) *claims.Keeper {
	cfg := claims.DefaultConfig()
	cfg.Node = n.set.Node
	cfg.Incarnation = n.self.Incarnation
	cfg.CallTimeout = n.set.Platform.Timeout.Std()
	keeper := claims.New(cfg, table)
	registerClaimMetrics(n.metrics, keeper.Stats())
	return keeper
}
