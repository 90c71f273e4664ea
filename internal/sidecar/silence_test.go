package sidecar

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// silencer relays connections to the store. Those that are open can be made to fall silent for good,
// while new ones work.
type silencer struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*atomic.Bool // whether each connection is silent
}

func newSilencer(t *testing.T, target string) *silencer {
	l, err := net.Listen("tcp", anyAddr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &silencer{listener: l, target: target}
	go s.acceptAll()
	return s
}

func (s *silencer) acceptAll() {
	for {
		from, err := s.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		silent := new(atomic.Bool)
		s.mu.Lock()
		s.open = append(s.open, silent)
		s.mu.Unlock()
		go relay(from, to, silent)
		go relay(to, from, silent)
	}
}

// relay copies bytes, and drops them once the connection is silent.
func relay(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes all open connections fall silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Store(true)
	}
}

// newFleetBehindSilencer is newFleet with connections to the store that can fall silent.
func newFleetBehindSilencer(t *testing.T, n int) (*fleet, *silencer) {
	f := newEmptyFleet(t, 1)
	s := newSilencer(t, f.storeAddr)
	f.storeAddr = s.listener.Addr().String()
	f.startAll(n)
	f.beat()
	f.knowAll()
	return f, s
}

// Guards against reads that wait on one silent connection to the store after the other.
func TestSilentStoreConnectionsCostEachReaderOneRead(t *testing.T) {
	f, s := newFleetBehindSilencer(t, 4)
	for _, version := range []string{"r7", "r9"} {
		s.silence()
		f.store.Put("op", "config", routes(version))
		f.eventually("the version is in force everywhere", func() bool {
			for _, m := range f.nodes {
				if "r"+string('0'+rune(m.node.pub.table.Load().Version())) != version {
					return false
				}
			}
			return true
		})
	}
	for _, m := range f.nodes {
		must.LessEq(t, 2, strings.Count(m.logs.String(), "unanswered=true"), must.Sprint(m.node.set.Node))
	}
}

// Guards against a goodbye that is lost, or not acknowledged, as its write goes to a silent connection.
func TestGoodbyeIsKeptThoughTheStoreConnectionsAreSilent(t *testing.T) {
	f, s := newFleetBehindSilencer(t, 2)
	s.silence()
	must.NoError(t, f.nodes[0].backend.Leave(f.nodes[0].node.set.Listen.Backend))
	f.eventually("the store has it", func() bool { return string(f.store.Row("nodes", "drain/node-0")) == "i-0" })
	f.waitForServers(1)
	resp, _ := f.do(f.nodes[0], "GET", "/status/x", "")
	must.Eq(t, 200, resp.StatusCode)
	must.True(t, platformtest.Stamped(resp.Header))
}
