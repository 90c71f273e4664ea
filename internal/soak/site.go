package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet/relay"
	"github.com/jacinthgate/jacinthgate/internal/process"
	"github.com/jacinthgate/jacinthgate/internal/sidecar"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config configures a soak.
type Config struct {
	// Bin is the folder with the program jacinthgate-sidecar.
	Bin string
	// Dir is the folder for settings and logs.
	Dir string
	// Plan is the schedule of disturbances.
	Plan Plan
	// Callers is the number of callers beside each node.
	Callers int
	// Share is the part of a core that each node may use in each tenth of a second; 0 is no bound.
	Share float64
}

// Bounds that the nodes are given and held to.
const (
	drainTime = 2 * time.Second
	graceTime = 6 * time.Second
)

// Ports of a node's addresses. The relayed ones stand in front of others.
const (
	portCallers = 8080 + iota
	portGate
	portPeers
	portReady
	portBackend
	portMetrics
	portGateRelayed
	portPeersRelayed
	portStore
)

// storeSide is the store's side of a cut.
const storeSide relay.Side = "store"

// node is one node of the site, and what stands beside it.
type node struct {
	number int
	name   string
	ip     string
	set    sidecar.Settings
	file   string
	host   *host
	relays []*relay.TCP

	// busy is held while the process is being stopped, frozen or started.
	busy sync.Mutex
	mu   sync.Mutex
	proc *process.Process
	life int // counts the starts
}

func (n *node) side() relay.Side { return relay.Side(n.ip) }

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// running returns the process and the number of its start.
func (n *node) running() (*process.Process, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc, n.life
}

// site is a whole site: processes, stand-ins and the relays between them.
type site struct {
	cfg     Config
	network *process.Network
	store   *platformtest.Store
	empty   *platformtest.Copy // of the store before the first node started
	cuts    *relay.Cuts
	relays  []*relay.TCP // all, those of the nodes and of the store
	nodes   []*node
	close   []func()
}

// services are those of the nodes, in turn.
var services = []string{"rooms", "layouts"}

// newSite lays out a site and starts it.
func newSite(cfg Config) (*site, error) {
	network, err := process.ReserveNetwork(0)
	if err != nil {
		return nil, err
	}
	s := &site{cfg: cfg, network: network, store: platformtest.NewStore(), cuts: relay.NewCuts()}
	s.store.TellEra(1)
	s.empty = s.store.Snapshot()
	s.close = append(s.close, network.Release)
	if err := s.startStore(); err != nil {
		return s, err
	}
	for i := range cfg.Plan.Nodes {
		if err := s.addNode(i); err != nil {
			return s, err
		}
	}
	for _, n := range s.nodes {
		if err := s.start(n); err != nil {
			return s, err
		}
	}
	return s, nil
}

// startStore starts the store and the relay in front of it.
func (s *site) startStore() error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.network.IP(0, 1), portStore))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(ln) }() // it ends with Close
	s.close = append(s.close, func() { _ = server.Close() })
	_, err = s.relay(s.storeAddr(), ln.Addr().String(), storeSide)
	return err
}

// storeAddr is where nodes reach the store.
func (s *site) storeAddr() string { return fmt.Sprintf("%s:%d", s.network.IP(0, 2), portStore) }

// relay starts a relay, whose callers are known by their addresses.
func (s *site) relay(addr, target string, side relay.Side) (*relay.TCP, error) {
	sideOf := func(from netip.AddrPort) relay.Side { return relay.Side(from.Addr().String()) }
	r, err := relay.ListenTCP(s.cuts, addr, target, side, sideOf)
	if err != nil {
		return nil, err
	}
	s.close = append(s.close, func() { _ = r.Close() })
	s.relays = append(s.relays, r)
	return r, nil
}

// addNode lays out one node, and starts the backend server and the relays.
func (s *site) addNode(i int) error {
	n := &node{number: i, name: fmt.Sprintf("node-%d", i), ip: s.network.IP(1+i%3, 1+i/3)}
	n.file = filepath.Join(s.cfg.Dir, n.name+".json")
	n.set = sidecar.Settings{
		Node: model.NodeID(n.name), Zone: model.Zone(fmt.Sprintf("zone-%d", i%3)), Region: "region",
		Zones:   map[model.Zone]model.Region{"zone-0": "region", "zone-1": "region", "zone-2": "region"},
		Service: services[i%len(services)], Store: s.storeAddr(), FirstStart: true,
		Listen: sidecar.Listen{
			Callers: n.addr(portCallers), Gate: n.addr(portGate), Ready: n.addr(portReady),
			Backend: n.addr(portBackend), Peers: n.addr(portPeers), Metrics: n.addr(portMetrics),
		},
		Advertise:       sidecar.Advertise{Gate: n.addr(portGateRelayed), Peers: n.addr(portPeersRelayed)},
		HeartbeatMillis: int(heartbeatEvery.Milliseconds()), MemoryMB: 200, LinkMbps: 1000,
		DrainMillis: int(drainTime.Milliseconds()), GraceSeconds: graceTime.Seconds(),
		Retry: sidecar.RetrySettings{Ratio: 0.2, WindowSeconds: 10, Slack: 50},
	}
	if s.cfg.Plan.Habits {
		n.set.Advertise = sidecar.Advertise{} // nothing is cut: connections between nodes end as they are ended
	}
	if s.cfg.Plan.Keyed {
		keySettings(&n.set)
	}
	if s.cfg.Plan.Evacuating {
		evacuationSettings(&n.set)
	}
	n.host = &host{ip: n.ip, service: n.set.Service, control: n.addr(portBackend), coldStarts: s.cfg.Plan.Evacuating,
		behaviours: newBehaviours(s.cfg.Plan)}
	s.nodes = append(s.nodes, n)
	if err := n.host.replace(0); err != nil {
		return err
	}
	for relayed, port := range map[int]int{portGateRelayed: portGate, portPeersRelayed: portPeers} {
		r, err := s.relay(n.addr(relayed), n.addr(port), n.side())
		if err != nil {
			return err
		}
		n.relays = append(n.relays, r)
	}
	return n.write()
}

// write writes the node's settings file.
func (n *node) write() error {
	b, err := json.Marshal(&n.set)
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, b, 0o600)
}

// start starts a node's process.
func (s *site) start(n *node) error {
	p, err := process.Start(s.cfg.Dir, n.name, filepath.Join(s.cfg.Bin, "jacinthgate-sidecar"), "run", "-settings", n.file)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proc = p
	n.life++
	return nil
}

// end ends all that was started.
func (s *site) end() {
	for _, n := range s.nodes {
		p, _ := n.running()
		_ = p.Signal(syscall.SIGCONT) // a stopped process can't end
		p.Kill()
		n.host.close()
	}
	for i := len(s.close) - 1; i >= 0; i-- {
		s.close[i]()
	}
}

// cutNode cuts a node from all others, or joins it again.
func (s *site) cutNode(n *node, cut bool) {
	for _, other := range s.nodes {
		if other != n {
			s.cut(n.side(), other.side(), cut)
		}
	}
}

// silence lets all open connections that are relayed carry nothing more.
func (s *site) silence() {
	for _, r := range s.relays {
		r.Silence()
	}
}

func (s *site) cut(a, b relay.Side, cut bool) {
	if cut {
		s.cuts.Cut(a, b)
	} else {
		s.cuts.Heal(a, b)
	}
}
