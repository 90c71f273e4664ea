package link

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/peer"
	"github.com/jacinthgate/jacinthgate/transport/peer/memory"
)

// failingTransport fails to accept the given number of times.
type failingTransport struct {
	peer.Transport
	failures atomic.Int32
}

// Accept implements peer.Transport.
func (t *failingTransport) Accept(ctx context.Context) (peer.Conn, error) {
	if t.failures.Add(-1) >= 0 {
		return nil, &peer.AcceptError{Err: syscall.EMFILE}
	}
	return t.Transport.Accept(ctx)
}

// Guards against a node that ends by itself when it has no file descriptor left for another node.
func TestNodeOutlastsAcceptsThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memory.NewNetwork()
		failing := &failingTransport{Transport: net.Transport("b", "b:1")}
		failing.failures.Store(100)
		a := start(t, net.Transport("a", "a:1"), "a", nil).record(t)
		b := start(t, failing, "b", nil).record(t)
		time.Sleep(10 * time.Second)
		a.Connect("b", "b:1")
		time.Sleep(time.Second)
		must.Eq(t, []string{"up a"}, b.takeEvents())
		must.Eq(t, 100, b.counter("jacinthgate_link_accept_failures_total"))
		must.StrContains(t, b.log.String(), "event=peer_accept_failed")
	})
}
