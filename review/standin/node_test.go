package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// machine is a machine with a process of the system.
type machine struct {
	name, zone, service, ip string
	site                    *site
	// maxFiles is the limit of the process's descriptors; 0 leaves it.
	maxFiles int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// port is one of a machine's ports. They are the same on all machines.
type port int

const (
	portReady port = iota
	portCallers
	portGate
	portControl
	portApp
	portPeers
	portMetrics
	portStore
	ports // their number
)

// at returns the address of one of the machine's ports.
func (m *machine) at(p port) string { return m.ip + ":" + itoa(m.site.firstPort+int(p)) }

// settings renders the settings file, as deploy/settings.json.tmpl does.
func (m *machine) settings(firstStart bool) map[string]any {
	s := map[string]any{
		"node": m.name, "zone": m.zone, "region": m.site.zones[m.zone], "zones": m.site.zones, "service": m.service,
		"listen": map[string]string{
			"callers": m.at(portCallers), "gate": m.at(portGate), "ready": m.at(portReady), "backend": m.at(portControl),
			"peers": m.at(portPeers), "metrics": m.at(portMetrics),
		},
		"store": m.site.store.addr, "firstStart": firstStart, "heartbeatMillis": 1500, "memoryMB": 284, "linkMbps": 1000.0,
		"drainMillis": 2000, "graceSeconds": 6,
		"retry":   map[string]any{"ratio": 0.2, "windowSeconds": 10, "slack": 56},
		"rollout": map[string]any{}, "revocation": m.site.revocation, "cold": map[string]any{}, "evacuateMillis": 0, "quota": map[string]any{},
	}
	return s
}

// start starts the process, as deploy/system.toml says.
func (m *machine) start(firstStart bool) error {
	path := filepath.Join(m.site.dir, m.name+".yaml")
	b, err := json.MarshalIndent(m.settings(firstStart), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.site.program, "run", "-settings", path)
	if m.maxFiles > 0 {
		limit := "ulimit -n " + itoa(m.maxFiles) + `; exec "$@"`
		cmd = exec.Command("bash", append([]string{"-c", limit, "bash"}, cmd.Args...)...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.cmd, m.done = cmd, make(chan struct{})
	done := m.done
	m.mu.Unlock()
	m.site.rec.note(m.name, "the process starts, pid %d", cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
	m.site.rec.note(m.name, "the process was killed")
}

var errNotReady = errors.New("a machine was not ready in time")

// awaitReady waits until the process says that it takes clients.
func (m *machine) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := controlClient.Get("http://" + m.at(portReady) + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}
