package fleet

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// bin is the directory of the binaries that the tests run.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jacinthgate-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/",
		"../../cmd/jacinthgate-node", "../../cmd/jacinthgate-platform",
		"../../cmd/jacinthgate-backend", "../../cmd/jacinthgate-older")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// deadline bounds every wait in the tests. It only ends a test that hangs.
const deadline = time.Minute

// start starts a fleet that stops with the test.
func start(t *testing.T, hosts []Host, edit ...func(*Config)) *Fleet {
	t.Helper()
	cfg := DefaultConfig(bin, t.TempDir())
	cfg.Hosts = hosts
	for _, e := range edit {
		e(&cfg)
	}
	f, err := Start(cfg)
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			printLogs(t, cfg.Dir)
		}
	})
	must.NoError(t, err)
	awaitMembers(t, f)
	return f
}

// awaitMembers waits until every node knows every other. A node that nobody
// knows yet is no live member, so a version may be in force without it.
func awaitMembers(t *testing.T, f *Fleet) {
	t.Helper()
	for _, m := range f.Members {
		eventually(t, string(m.Node)+" knows all nodes", func() bool {
			s, err := m.Operator().Status(context.Background())
			return err == nil && len(s.Nodes) == len(f.Members)
		})
	}
}

func printLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), raw)
	}
}

// eventually waits until f is true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for !f() {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", deadline, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// batch reads the example documents of a deployment as one change.
func batch(t *testing.T, deployment string) model.Batch {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*", "*.json"))
	must.NoError(t, err)
	var all model.Batch
	for _, file := range files {
		raw, err := os.ReadFile(file)
		must.NoError(t, err)
		b, err := model.ParseDocument(raw)
		must.NoError(t, err)
		all.Contracts = append(all.Contracts, b.Contracts...)
		all.Services = append(all.Services, b.Services...)
	}
	return all
}

// apply sends a change to a node and waits until it is in force on all nodes.
func apply(t *testing.T, m *Member, id string, b model.Batch, base map[string]uint64) *operator.ApplyResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	c := m.Operator()
	resp, err := c.Apply(ctx, &operator.ApplyRequest{ChangeID: id, Batch: b, Base: base})
	must.NoError(t, err)
	eventually(t, "change in force", func() bool {
		p, err := c.Progress(ctx, resp.Version, time.Second)
		return err == nil && p.InForce
	})
	return resp
}

// get sends a caller's GET and returns the response with its body.
func get(t *testing.T, m *Member, host, path string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, m.CallerURL()+path, nil)
	must.NoError(t, err)
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(body)
}

func TestWholePath(t *testing.T) {
	f := start(t, RoomSignage())
	docs := batch(t, "room-signage")
	apply(t, f.Members[0], "first", docs, nil)
	host := docs.Contracts[0].Hosts[0]
	path := docs.Contracts[0].Routes[0].PathPrefix
	for _, m := range f.Members {
		eventually(t, "answer through "+string(m.Node), func() bool {
			resp, _ := get(t, m, host, path)
			return resp.Header.Get(outcome.HeaderOutcome) == string(outcome.Answered)
		})
	}
}
