package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/logging/loggingtest"
	"github.com/jacinthgate/jacinthgate/internal/sidecar"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), program)
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return bin
}

// started is a process of the program and its log.
type started struct {
	cmd *exec.Cmd
	log *bufio.Reader
	out io.Closer
}

// start starts a process without a store, which stops within a second.
func start(t *testing.T, bin string) *started {
	t.Helper()
	const any = "127.0.0.1:0"
	set := sidecar.Settings{
		Node: "node-0", Zone: "zone-0", Region: "region", Zones: map[model.Zone]model.Region{"zone-0": "region"},
		Service: "rooms", Store: "127.0.0.1:1", FirstStart: true,
		Listen:          sidecar.Listen{Callers: any, Gate: any, Ready: any, Backend: any, Peers: any, Metrics: any},
		HeartbeatMillis: 1000, MemoryMB: 200, LinkMbps: 1000, DrainMillis: 1000, GraceSeconds: 1,
		Retry: sidecar.RetrySettings{Ratio: 0.2, WindowSeconds: 10, Slack: 50},
	}
	content, err := json.Marshal(&set)
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, content, 0o600))
	p := &started{cmd: exec.Command(bin, "run", "-settings", file)}
	out, err := p.cmd.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.log, p.out = bufio.NewReader(out), out
	return p
}

// signal sends a signal.
func (p *started) signal(t *testing.T, s os.Signal) {
	t.Helper()
	must.NoError(t, p.cmd.Process.Signal(s))
}

// await reads the log until an event.
func (p *started) await(t *testing.T, event string) {
	t.Helper()
	for {
		line, err := p.log.ReadString('\n')
		must.NoError(t, err, must.Sprint("the log ends before ", event))
		if strings.Contains(line, "event="+event+" ") {
			return
		}
	}
}

func TestSignalDuringStartDoesNotEndTheProcessAtOnce(t *testing.T) {
	bin := build(t)
	for range 5 {
		p := start(t, bin)
		p.await(t, "sidecar_starting")
		p.signal(t, syscall.SIGHUP)
		p.await(t, "sidecar_started")
		p.signal(t, syscall.SIGTERM)
		p.await(t, "shutdown_finished")
		must.NoError(t, p.cmd.Wait())
	}
	p := start(t, bin)
	p.await(t, "sidecar_starting")
	p.signal(t, syscall.SIGTERM)
	p.await(t, "shutdown_finished")
	must.NoError(t, p.cmd.Wait())
}

func TestSignalsInSeriesDoNotEndTheProcessAtOnce(t *testing.T) {
	p := start(t, build(t))
	p.await(t, "sidecar_started")
	p.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() {
		p.await(t, "shutdown_finished")
		ended <- p.cmd.Wait()
	}()
	for {
		select {
		case err := <-ended:
			must.NoError(t, err)
			return
		default:
			_ = p.cmd.Process.Signal(syscall.SIGHUP)  // it may just have ended
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // likewise
		}
	}
}

func TestFullLogDoesNotHoldUpTheEndOfTheProcess(t *testing.T) {
	p := start(t, build(t))
	p.await(t, "sidecar_started")
	loggingtest.FillPipe(t, p.cmd.Process.Pid, 1)
	p.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { // Wait would take what is in the pipe
		state, err := p.cmd.Process.Wait()
		must.True(t, err != nil || state.Success())
		ended <- err
	}()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the process waits for its log")
	}
}

func TestLogThatNobodyReadsDoesNotEndTheProcess(t *testing.T) {
	p := start(t, build(t))
	p.await(t, "sidecar_started")
	must.NoError(t, p.out.Close())
	p.signal(t, syscall.SIGTERM) // its log lines find nobody
	must.NoError(t, p.cmd.Wait())
}
