package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/logging/loggingtest"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// startNode starts a process without a platform and returns it with the address for its host once it
// serves.
func startNode(t *testing.T) (*exec.Cmd, string) {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "jacinthgate-node")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	const free, none = "127.0.0.1:0", "http://127.0.0.1:1"
	content, err := json.Marshal(map[string]any{
		"node": "node-0", "zone": "zone-0", "region": "region", "insecure": true,
		"listen":   map[string]any{"caller": free, "gate": free, "peer": free, "local": free},
		"platform": map[string]any{"table": none, "objects": none},
	})
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, content, 0o600))
	cmd := exec.Command(bin, "run", "-settings", file)
	log, err := cmd.StderrPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	started := regexp.MustCompile(`event=node_started .* local=(\S+)`)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if found := started.FindStringSubmatch(lines.Text()); found != nil {
			return cmd, found[1]
		}
	}
	t.Fatal("the log ends before node_started")
	return nil, ""
}

// Guards against a log that nobody takes and that holds up requests and the end of the process.
func TestFullLogHoldsUpNothing(t *testing.T) {
	cmd, local := startNode(t)
	loggingtest.FillPipe(t, cmd.Process.Pid, 2)
	client := http.Client{Timeout: 20 * time.Second}
	resp, err := client.Post("http://"+local+operator.PathDrain, "application/json", strings.NewReader(`{"node":"node-0","drain":true}`)) // it is logged, whatever the result
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { // Wait would take what is in the pipe
		state, err := cmd.Process.Wait()
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
