package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/peer"
)

var addrA, addrB = []string{"10.0.0.1:1"}, []string{"10.0.0.2:1"}

// connect returns a network and both ends of a connection from a to b.
func connect(t *testing.T) (n *Network, a, b peer.Conn) {
	t.Helper()
	n = NewNetwork()
	ta, tb := n.Transport("a", addrA[0]), n.Transport("b", addrB[0])
	a, err := ta.Dial(t.Context(), addrB[0])
	must.NoError(t, err)
	b, err = tb.Accept(t.Context())
	must.NoError(t, err)
	return n, a, b
}

func TestMessagesArriveInOrder(t *testing.T) {
	_, a, b := connect(t)
	must.Eq(t, "b", string(a.Peer()))
	must.Eq(t, "a", string(b.Peer()))
	must.Eq(t, addrA[0], b.RemoteAddr())
	buf := []byte("1")
	must.NoError(t, a.Send(t.Context(), buf))
	buf[0] = '2'
	must.NoError(t, a.Send(t.Context(), buf))
	must.NoError(t, a.Close())
	for _, want := range []string{"1", "2"} {
		got, err := b.Receive(t.Context())
		must.NoError(t, err)
		must.Eq(t, want, string(got))
	}
	_, err := b.Receive(t.Context())
	must.ErrorIs(t, err, peer.ErrClosed)
	must.ErrorIs(t, b.Send(t.Context(), buf), peer.ErrClosed)
}

func TestCutHoldsMessagesUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := connect(t)
		got := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			if _, err := b.Receive(t.Context()); err == nil {
				got <- time.Now()
			}
		}()
		synctest.Wait()
		n.Cut(addrA, addrB)
		must.NoError(t, a.Send(t.Context(), []byte("x")))
		time.Sleep(DefaultIdleTimeout - 1)
		n.Heal(addrA, addrB)
		must.Eq(t, DefaultIdleTimeout-1, (<-got).Sub(start))
		time.Sleep(DefaultIdleTimeout)
		must.NoError(t, a.Send(t.Context(), []byte("y")))
	})
}

func TestCutBeyondIdleTimeoutEndsConnectionsAndDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := connect(t)
		n.Cut(addrA, addrB)
		must.NoError(t, a.Send(t.Context(), []byte("x")))
		_, err := b.Receive(t.Context())
		must.ErrorIs(t, err, peer.ErrClosed)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = n.transportAt(addrA[0]).Dial(ctx, addrB[0])
		must.ErrorIs(t, err, context.DeadlineExceeded)
		n.Heal(addrA, addrB)
		_, err = n.transportAt(addrA[0]).Dial(t.Context(), addrB[0])
		must.NoError(t, err)
	})
}

func TestDropAndClose(t *testing.T) {
	n, a, b := connect(t)
	must.Eq(t, 1, n.Drop(addrB, addrA))
	must.Eq(t, 0, n.Drop(addrB, addrA))
	_, err := a.Receive(t.Context())
	must.ErrorIs(t, err, peer.ErrClosed)
	must.ErrorIs(t, b.Send(t.Context(), nil), peer.ErrClosed)
	tb := n.transportAt(addrB[0])
	must.NoError(t, tb.Close())
	_, err = tb.Accept(t.Context())
	must.ErrorIs(t, err, peer.ErrClosed)
	_, err = n.transportAt(addrA[0]).Dial(t.Context(), addrB[0])
	var refused *RefusedError
	must.True(t, errors.As(err, &refused))
	must.NoError(t, n.transportAt(addrA[0]).Close())
}
