package rig2

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// sidecarProgram is what the deploy file builds.
const sidecarProgram = "target/jacinthgate-sidecar"

// Bounds of the deployment, as in the site file tabla-mesh.
const (
	graceS     = 6
	recoverS   = 15
	drainMs    = 2000
	heartbeat  = 1500
	maxRetries = 56
)

// node is one sidecar process and the addresses of its machine.
type node struct {
	name, ip, zone, service string
	callers, control        string
	readyURL, settings, log string

	cmd  *exec.Cmd
	done chan struct{}
}

// nextPort is the next port to try. It lies below the ports that the system gives to outgoing
// connections, so that none of these takes it before the sidecar listens.
var nextPort = 20000

// freeAddr returns an address with a port that is free now.
func freeAddr(ip string) (string, error) {
	for ; nextPort < 30000; nextPort++ {
		addr := net.JoinHostPort(ip, strconv.Itoa(nextPort))
		if l, err := net.Listen("tcp", addr); err == nil {
			nextPort++
			return addr, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

func newNode(dir, name, ip, zone, service, storeAddr string) (*node, error) {
	n := &node{name: name, ip: ip, zone: zone, service: service, log: filepath.Join(dir, name+".log")}
	listen := make(map[string]string)
	for _, what := range []string{"callers", "gate", "ready", "backend", "peers", "metrics"} {
		addr, err := freeAddr(ip)
		if err != nil {
			return nil, err
		}
		listen[what] = addr
	}
	n.callers, n.control, n.readyURL = listen["callers"], listen["backend"], "http://"+listen["ready"]+"/api/ready"
	settings := map[string]any{
		"node": name, "zone": zone, "region": "region", "service": service, "listen": listen, "store": storeAddr,
		"zones": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"}, "firstStart": true,
		"heartbeatMillis": heartbeat, "memoryMB": 284, "maxFiles": 4100, "linkMbps": 1000.0,
		"drainMillis": drainMs, "graceSeconds": graceS, "retry": map[string]any{"ratio": 0.2, "windowSeconds": 10, "slack": maxRetries},
		"rollout": map[string]any{}, "revocation": map[string]any{}, "cold": map[string]any{}, "evacuateMillis": 0, "quota": map[string]any{},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, name+".yaml")
	return n, os.WriteFile(n.settings, text, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(sidecarProgram, "run", "-settings", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACINTHGATE_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// startAgain starts the process after the first start of the whole system.
func (n *node) startAgain() error {
	text, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	text = bytes.Replace(text, []byte(`"firstStart":true`), []byte(`"firstStart":false`), 1)
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return err
	}
	return n.start()
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.done == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.done
}

// ready asks the sidecar as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(n.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
