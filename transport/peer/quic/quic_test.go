package quic

import (
	"bytes"
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/transport/peer"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// authority issues test certificates from a certificate authority in dir.
type authority struct{ dir string }

func newAuthority(t testing.TB) authority {
	ca := authority{dir: t.TempDir()}
	must.NoError(t, security.InitAuthority(ca.dir, "site", time.Hour))
	return ca
}

func (ca authority) keys(t testing.TB, role security.Role, name string) *security.Keys {
	out := t.TempDir()
	issue := security.IssueNode
	if role == security.RoleOperator {
		issue = security.IssueOperator
	}
	must.NoError(t, issue(ca.dir, name, out, time.Hour))
	cfg := security.DefaultConfig()
	cfg.AuthorityFile = filepath.Join(out, security.AuthorityFile)
	cfg.CertificateFile = filepath.Join(out, security.CertificateFile)
	cfg.KeyFile = filepath.Join(out, security.KeyFile)
	cfg.Role = role
	k, err := security.Load(cfg)
	must.NoError(t, err)
	return k
}

func (ca authority) config(t testing.TB, id string) Config {
	k := ca.keys(t, security.RoleNode, id)
	cfg := DefaultConfig()
	cfg.ListenAddr = "127.0.0.1:0"
	cfg.ServerTLS = k.ServerConfig()
	cfg.ClientTLS = k.ClientConfig("")
	return cfg
}

func start(t testing.TB, cfg Config) *Transport {
	tr, err := New(cfg)
	must.NoError(t, err)
	t.Cleanup(func() { tr.Close() })
	return tr
}

// connect returns both ends of a connection from a to b.
func connect(t testing.TB, a, b *Transport) (dialled, accepted peer.Conn) {
	dialled, err := a.Dial(t.Context(), b.Addr())
	must.NoError(t, err)
	accepted, err = b.Accept(t.Context())
	must.NoError(t, err)
	return dialled, accepted
}

func TestMessagesArriveWholeAndInOrder(t *testing.T) {
	ca := newAuthority(t)
	a, b := start(t, ca.config(t, "node-a")), start(t, ca.config(t, "node-b"))
	dialled, accepted := connect(t, a, b)
	must.Eq(t, "node-b", string(dialled.Peer()))
	must.Eq(t, "node-a", string(accepted.Peer()))
	must.Eq(t, b.Addr(), dialled.RemoteAddr())
	sizes := []int{1, 100, 20_000, message.MaxSize}
	go func() {
		for i, size := range sizes {
			accepted.Send(t.Context(), bytes.Repeat([]byte{byte(i)}, size))
		}
	}()
	for i, size := range sizes {
		got, err := dialled.Receive(t.Context())
		must.NoError(t, err)
		must.True(t, bytes.Equal(bytes.Repeat([]byte{byte(i)}, size), got))
	}
	must.Greater(t, message.MaxSize, int(b.Stats().BytesSent))
	must.Greater(t, message.MaxSize, int(a.Stats().BytesReceived))

	must.True(t, is[*FrameError](dialled.Send(t.Context(), make([]byte, message.MaxSize+1))))
	must.NoError(t, dialled.Close())
	_, err := accepted.Receive(t.Context())
	must.ErrorIs(t, err, peer.ErrClosed)
	must.ErrorIs(t, dialled.Send(t.Context(), []byte("x")), peer.ErrClosed)
}

func TestOversizeFrameClosesConnection(t *testing.T) {
	ca := newAuthority(t)
	a, b := start(t, ca.config(t, "node-a")), start(t, ca.config(t, "node-b"))
	dialled, accepted := connect(t, a, b)
	must.NoError(t, dialled.(*conn).write(t.Context(), []byte{0xff, 0xff, 0xff, 0x7f}))
	_, err := accepted.Receive(t.Context())
	must.True(t, is[*FrameError](err))
	_, err = dialled.Receive(t.Context())
	must.Error(t, err)
}

func TestContextEndsPendingCalls(t *testing.T) {
	ca := newAuthority(t)
	a, b := start(t, ca.config(t, "node-a")), start(t, ca.config(t, "node-b"))
	dialled, accepted := connect(t, a, b)
	ctx, cancel := context.WithCancel(t.Context())
	blocked := make(chan error)
	go func() {
		for { // nothing is received, so the flow control window fills up
			if err := dialled.Send(ctx, make([]byte, 50_000)); err != nil {
				blocked <- err
				return
			}
		}
	}()
	cancel()
	must.ErrorIs(t, <-blocked, context.Canceled)
	_, err := accepted.Receive(ctx)
	must.ErrorIs(t, err, context.Canceled)
	must.NoError(t, a.Close())
	_, err = a.Accept(t.Context())
	must.ErrorIs(t, err, peer.ErrClosed)
	must.NoError(t, b.Close())
}

func TestUnverifiedPeersAreRefused(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, ca.config(t, "node-b"))
	stranger := start(t, newAuthority(t).config(t, "node-a"))
	_, err := stranger.Dial(t.Context(), b.Addr())
	must.True(t, is[*security.UntrustedError](err))

	// The server refuses a client that itself accepts any server certificate.
	e, err := security.Ephemeral()
	must.NoError(t, err)
	cfg := DefaultConfig()
	cfg.ListenAddr = "127.0.0.1:0"
	cfg.ServerTLS, cfg.ClientTLS = e.ServerConfig(), e.ClientConfig()
	_, err = New(cfg)
	must.True(t, is[*ConfigError](err))
	cfg.Insecure = true
	insecure := start(t, cfg)
	_, err = insecure.Dial(t.Context(), b.Addr())
	must.True(t, is[*peer.DialError](err))
	dialled, accepted := connect(t, insecure, start(t, cfg))
	must.Eq(t, "", string(dialled.Peer()+accepted.Peer()))

	// A transport that is not insecure refuses a certificate without a node name.
	lax := ca.config(t, "node-c")
	lax.ClientTLS = e.ClientConfig()
	lax.ClientTLS.GetClientCertificate = ca.config(t, "node-c").ClientTLS.GetClientCertificate
	operator := ca.config(t, "node-d")
	operator.ServerTLS = ca.keys(t, security.RoleOperator, "op").ServerConfig()
	_, err = start(t, lax).Dial(t.Context(), start(t, operator).Addr())
	must.True(t, is[*IdentityError](err), must.Sprint(err))
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
