package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/fleet/relay"
	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/internal/process"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Fleet is a running fleet. Its methods are safe for concurrent use on
// different hosts.
type Fleet struct {
	cfg      Config
	platform *process.Process
	older    *process.Process
	relays   []io.Closer
	network  *process.Network
	// Cuts severs zones from each other and from the platform, where
	// Config.Relay is set.
	Cuts *relay.Cuts
	// Members are the hosts, in the order of the configuration.
	Members []*Member
}

// Member is one host of a running fleet.
type Member struct {
	Host
	fleet   *Fleet
	ip      string
	node    *process.Process
	backend *process.Process
}

// StartError reports a process that did not listen in time.
type StartError struct {
	// Name is the process.
	Name string
	// Addr is where it should listen.
	Addr string
}

// Error implements error.
func (e *StartError) Error() string { return "process " + e.Name + " does not listen on " + e.Addr }

// Start starts the platform's stand-in, the nodes and the backend servers, and
// waits until all of them listen. Stop must be called, also after an error.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Cuts: relay.NewCuts()}
	var err error
	if f.network, err = process.ReserveNetwork(cfg.Network); err != nil {
		return f, err
	}
	f.layOut()
	err = f.issue()
	if err != nil {
		return f, err
	}
	if f.platform, err = f.start("platform", "jacinthgate-platform", "-listen", f.platformAddr()); err != nil {
		return f, err
	}
	if cfg.Older {
		if f.older, err = f.start("older", "jacinthgate-older", "-listen", f.OlderAddr()); err != nil {
			return f, err
		}
	}
	if err := f.await("platform", f.platformAddr()); err != nil {
		return f, err
	}
	if err := f.startRelays(); err != nil {
		return f, err
	}
	return f, f.each(func(m *Member) error {
		if err := m.StartNode(); err != nil {
			return err
		}
		return m.StartBackend()
	})
}

// layOut gives each host its address.
func (f *Fleet) layOut() {
	zones := make(map[model.Zone]int)
	hosts := make(map[model.Zone]int)
	for _, h := range f.cfg.Hosts {
		if _, known := zones[h.Zone]; !known {
			zones[h.Zone] = len(zones) + 1
		}
		hosts[h.Zone]++
		ip := f.network.IP(zones[h.Zone], hosts[h.Zone])
		f.Members = append(f.Members, &Member{Host: h, fleet: f, ip: ip})
	}
}

// each runs g for all members at the same time and returns the first error.
func (f *Fleet) each(g func(*Member) error) error {
	errs := make([]error, len(f.Members))
	var wg sync.WaitGroup
	for i, m := range f.Members {
		wg.Go(func() { errs[i] = g(m) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts one of the fleet's programs.
func (f *Fleet) start(name, program string, args ...string) (*process.Process, error) {
	return process.Start(f.cfg.Dir, name, filepath.Join(f.cfg.Bin, program), args...)
}

// Stop ends all processes that the fleet started.
func (f *Fleet) Stop() {
	_ = f.each(func(m *Member) error {
		m.backend.Kill()
		m.node.Kill()
		return nil
	})
	for _, r := range f.relays {
		_ = r.Close() // nothing is left to lose
	}
	f.older.Kill()
	f.platform.Kill()
	f.network.Release()
}

// Member returns the host of a node, or nil.
func (f *Fleet) Member(node model.NodeID) *Member {
	for _, m := range f.Members {
		if m.Node == node {
			return m
		}
	}
	return nil
}

func (f *Fleet) platformAddr() string {
	return fmt.Sprintf("%s:%d", f.network.IP(0, 1), portPlatform)
}

// PlatformURL is the base URL of the platform's stand-in.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddr() }

// OlderAddr is the address of the older system's stand-in.
func (f *Fleet) OlderAddr() string { return fmt.Sprintf("%s:%d", f.network.IP(0, 2), portOlder) }

// await waits until something listens on addr.
func (f *Fleet) await(name, addr string) error {
	deadline := time.Now().Add(f.cfg.StartTimeout)
	for time.Now().Before(deadline) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			_ = c.Close() // only a look
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return &StartError{Name: name, Addr: addr}
}

// StartNode starts the host's node and waits until it listens.
func (m *Member) StartNode() error {
	file := filepath.Join(m.fleet.cfg.Dir, string(m.Node)+".json")
	raw, err := json.MarshalIndent(m.settings(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	m.node, err = m.fleet.start(string(m.Node), "jacinthgate-node", "run", "-settings", file)
	if err != nil {
		return err
	}
	return m.fleet.await(string(m.Node), m.addr(portLocal))
}

// StartBackend starts the host's backend server, if it has one.
func (m *Member) StartBackend() error {
	if m.Service == "" {
		return nil
	}
	var err error
	m.backend, err = m.fleet.start(string(m.Node)+"-backend", "jacinthgate-backend",
		"-listen", m.addr(portBackend),
		"-node", m.LocalURL(),
		"-service", m.Service,
		"-name", string(m.Node),
		"-slots", fmt.Sprint(m.Slots),
		"-connections", fmt.Sprint(m.Connections),
		"-service-ms", fmt.Sprint(m.ServiceMillis),
	)
	return err
}

// KillNode ends the node at once.
func (m *Member) KillNode() { m.node.Kill() }

// KillBackend ends the backend server at once.
func (m *Member) KillBackend() { m.backend.Kill() }

// TerminateNode ends the node gracefully. It reports whether the node ended
// within the timeout by itself.
func (m *Member) TerminateNode(timeout time.Duration) bool { return m.node.Terminate(timeout) }

// FreezeNode stops the node's process without ending it.
func (m *Member) FreezeNode() error { return m.node.Signal(syscall.SIGSTOP) }

// ThawNode lets a frozen node go on.
func (m *Member) ThawNode() error { return m.node.Signal(syscall.SIGCONT) }

// Alive reports whether the node's process runs.
func (m *Member) Alive() bool { return m.node.Alive() }

// PID is the process id of the node.
func (m *Member) PID() int { return m.node.PID() }

func (m *Member) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// CallerAddr is the address for callers' requests.
func (m *Member) CallerAddr() string { return m.addr(portCaller) }

// CallerURL is the base URL for callers' requests.
func (m *Member) CallerURL() string { return "http://" + m.CallerAddr() }

// LocalURL is the base URL of the host's own interface.
func (m *Member) LocalURL() string { return "http://" + m.addr(portLocal) }

// GateURL is the base URL of the host's gate.
func (m *Member) GateURL() string { return "http://" + m.addr(portGate) }

// BackendAddr is the address of the backend server itself.
func (m *Member) BackendAddr() string { return m.addr(portBackend) }

// BackendURL is the base URL of the backend server itself.
func (m *Member) BackendURL() string { return "http://" + m.BackendAddr() }

// LogPath is the file with the node's log, over all its lives.
func (m *Member) LogPath() string { return process.LogFile(m.fleet.cfg.Dir, string(m.Node)) }

// Operator returns a client of the node's operator interface.
func (m *Member) Operator() *operatorclient.Client {
	return operatorclient.New(m.LocalURL(), &http.Client{Timeout: operatorTimeout})
}

// operatorTimeout bounds one call of an operator.
const operatorTimeout = 15 * time.Second
