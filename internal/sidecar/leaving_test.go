package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// newLeavingFleet starts two nodes with a short grace time, the first of which is to leave.
func newLeavingFleet(t *testing.T) (*fleet, *site) {
	f := newAdaptedFleet(t, 2, func(s *Settings) { s.GraceSeconds = 1.2 })
	return f, f.nodes[0]
}

// ask sends one request on a connection of its own and returns its status; 0 where the
// connection ended without a whole answer, and -1 where the node took none.
func ask(m *site, path, id string) int {
	c, err := net.Dial("tcp", m.node.set.Listen.Callers)
	if err != nil {
		return -1
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n\r\n",
		path, host, platformtest.HeaderRequestID, id, platformtest.HeaderWait)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestLeavingNodeCutsNothingWhileCallersKeepConnecting(t *testing.T) {
	// Where the callers have no processor for a few milliseconds, the listener closes before
	// the node refuses what may last for too long, and the node is let leave once more.
	const leaves = 10
	for range leaves {
		if leaveWhileCallersConnect(t) {
			return
		}
	}
	t.Errorf("in none of %d leaves callers kept connecting until the node refused them", leaves)
}

// leaveWhileCallersConnect lets a node leave while callers connect to it all the time, and checks
// that it cuts none of their requests. It reports whether the node had to refuse any.
func leaveWhileCallersConnect(t *testing.T) bool {
	f, m := newLeavingFleet(t)
	for _, n := range f.nodes {
		n.backend.Work = 250 * time.Millisecond
	}
	var (
		all   sync.WaitGroup
		next  atomic.Int64
		ended atomic.Bool
		mu    sync.Mutex
		cut   = make(map[string]bool)
	)
	for range m.backend.Slots {
		all.Go(func() {
			for !ended.Load() {
				id := fmt.Sprintf("r-%d", next.Add(1))
				if ask(m, "/status/x", id) == 0 {
					mu.Lock()
					cut[id] = true
					mu.Unlock()
				}
			}
		})
		all.Go(func() { // there is hardly a moment without a new connection
			for !ended.Load() {
				ask(m, "/unknown/x", "none")
			}
		})
	}
	f.eventually("requests run", func() bool { return len(f.seen()) > 0 })
	m.node.shutdown(syscall.SIGTERM)
	m.node.cancel()
	must.NoError(t, <-m.ended)
	ended.Store(true)
	all.Wait()
	for _, s := range f.seen() {
		must.False(t, cut[s.ID], must.Sprint(s.ID, " was sent to the backend server and got no answer"))
	}
	return strings.Contains(m.logs.String(), "status=503 reason=leaving")
}

func TestRequestAtTheEndOfTheGraceTimeIsAnswered(t *testing.T) {
	f, m := newLeavingFleet(t)
	for _, n := range f.nodes {
		n.backend.Answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	}
	status := make(chan int, 1)
	go func() { status <- ask(m, "/status/x", "held") }()
	f.eventually("the request runs", func() bool { return len(f.seen()) == 1 })
	m.node.shutdown(syscall.SIGTERM)
	must.Eq(t, http.StatusBadGateway, <-status)
	must.StrContains(t, m.logs.String(), "event=request_refused request=held")
}
