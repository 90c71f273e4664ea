package tcp

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// listen returns a transport on a free local port.
func listen(t *testing.T) *Transport {
	t.Helper()
	cfg := DefaultConfig()
	cfg.ListenAddr = "127.0.0.1:0"
	tr, err := New(cfg)
	must.NoError(t, err)
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

// pair returns the dialling transport and both ends of a connection.
func pair(t *testing.T) (*Transport, peer.Conn, peer.Conn) {
	t.Helper()
	a, b := listen(t), listen(t)
	dialled, err := a.Dial(context.Background(), b.Addr())
	must.NoError(t, err)
	accepted, err := b.Accept(context.Background())
	must.NoError(t, err)
	return a, dialled, accepted
}

func TestMessagesArriveWholeAndInOrder(t *testing.T) {
	_, dialled, accepted := pair(t)
	large := make([]byte, 100<<10)
	go func() {
		_ = dialled.Send(context.Background(), []byte("first"))
		_ = dialled.Send(context.Background(), large)
		_ = dialled.Send(context.Background(), nil)
	}()
	for _, want := range []string{"first", string(large), ""} {
		got, err := accepted.Receive(context.Background())
		must.NoError(t, err)
		must.Eq(t, want, string(got))
	}
}

func TestCloseEndsPendingCalls(t *testing.T) {
	a, dialled, accepted := pair(t)
	ended := make(chan error, 2)
	go func() { _, err := dialled.Receive(context.Background()); ended <- err }()
	go func() { _, err := a.Accept(context.Background()); ended <- err }()
	must.NoError(t, a.Close())
	must.ErrorIs(t, <-ended, peer.ErrClosed)
	must.ErrorIs(t, <-ended, peer.ErrClosed)
	_, err := accepted.Receive(context.Background())
	must.ErrorIs(t, err, peer.ErrClosed)
	must.ErrorIs(t, dialled.Send(context.Background(), []byte("x")), peer.ErrClosed)
	_, err = a.Dial(context.Background(), a.Addr())
	must.Error(t, err)
}

func TestReceiveEndsAtItsDeadline(t *testing.T) {
	_, dialled, _ := pair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := dialled.Receive(ctx)
	timeout, ok := err.(net.Error)
	must.True(t, ok)
	must.True(t, timeout.Timeout())
}

func TestOversizeMessageIsRefused(t *testing.T) {
	b := listen(t)
	raw, err := net.Dial("tcp", b.Addr())
	must.NoError(t, err)
	defer raw.Close()
	accepted, err := b.Accept(context.Background())
	must.NoError(t, err)
	_, err = raw.Write(binary.BigEndian.AppendUint32(nil, message.MaxSize+1))
	must.NoError(t, err)
	_, err = accepted.Receive(context.Background())
	size, ok := err.(*message.SizeError)
	must.True(t, ok)
	must.Eq(t, message.MaxSize+1, size.Size)
}
