package quic

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	quicgo "github.com/quic-go/quic-go"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

// acceptBacklog is the maximum number of connections that have completed the
// handshake and wait for Accept.
const acceptBacklog = 32

// Application error codes that a connection is closed with.
const (
	codeClosed   quicgo.ApplicationErrorCode = 0
	codeRefused  quicgo.ApplicationErrorCode = 1
	codeProtocol quicgo.ApplicationErrorCode = 2
)

// preface is the first byte of the stream in each direction. The accepting side
// sends it only after it has accepted the dialling side's certificate, so a
// successful Dial means that both sides have accepted each other.
const preface = 0x6a

// Transport implements peer.Transport over QUIC.
type Transport struct {
	cfg      Config
	socket   *socket
	quic     *quicgo.Transport
	listener *quicgo.Listener
	backlog  chan *conn
	done     chan struct{}
	cancel   context.CancelFunc
	once     sync.Once
	tasks    sync.WaitGroup
}

var _ peer.Transport = (*Transport)(nil)

// New opens the socket and begins to accept connections. The error is a
// *ConfigError or the cause of a failure to open the socket.
func New(cfg Config) (*Transport, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.ListenAddr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve control address")
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen on control address")
	}
	s := &socket{udp: udp}
	q := &quicgo.Transport{Conn: s}
	listener, err := q.Listen(cfg.ServerTLS, cfg.quic())
	if err != nil {
		udp.Close()
		return nil, errors.Wrap(err, "listen for QUIC")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:      cfg,
		socket:   s,
		quic:     q,
		listener: listener,
		backlog:  make(chan *conn, acceptBacklog),
		done:     make(chan struct{}),
		cancel:   cancel,
	}
	t.tasks.Go(func() { t.acceptAll(ctx) })
	return t, nil
}

// Stats returns the traffic counters since the start.
func (t *Transport) Stats() Stats { return t.socket.stats() }

// Addr implements peer.Transport.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Dial implements peer.Transport. The cause within the *peer.DialError is an
// *IdentityError, a *PrefaceError, or an error of QUIC or of the TLS
// configuration.
func (t *Transport) Dial(ctx context.Context, addr string) (peer.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.HandshakeTimeout)
	defer cancel()
	c, err := t.dial(ctx, addr)
	if err != nil {
		return nil, &peer.DialError{Addr: addr, Err: err}
	}
	return c, nil
}

// dial opens a connection and its stream.
func (t *Transport) dial(ctx context.Context, addr string) (*conn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	q, err := t.quic.Dial(ctx, udp, t.cfg.ClientTLS, t.cfg.quic())
	if err != nil {
		return nil, err
	}
	c, err := t.openStream(ctx, q)
	if err != nil {
		q.CloseWithError(codeRefused, "")
		return nil, err
	}
	return c, nil
}

// openStream opens the connection's stream and waits for the peer's preface,
// which shows that the peer has accepted this node's certificate.
func (t *Transport) openStream(ctx context.Context, q *quicgo.Conn) (*conn, error) {
	id, err := t.identify(q)
	if err != nil {
		return nil, err
	}
	stream, err := q.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	c := newConn(q, stream, id)
	if err := c.sendPreface(ctx); err != nil {
		return nil, err
	}
	return c, c.receivePreface(ctx)
}

// acceptAll accepts connections until the transport closes. Each connection is
// set up in its own goroutine, so that a slow peer does not delay the others.
func (t *Transport) acceptAll(ctx context.Context) {
	for {
		q, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, t.cfg.HandshakeTimeout)
			defer cancel()
			if err := t.admit(ctx, q); err != nil {
				q.CloseWithError(codeRefused, "")
			}
		})
	}
}

// admit identifies the peer of an accepted connection, exchanges the prefaces
// and queues the connection for Accept.
func (t *Transport) admit(ctx context.Context, q *quicgo.Conn) error {
	id, err := t.identify(q)
	if err != nil {
		return err
	}
	stream, err := q.AcceptStream(ctx)
	if err != nil {
		return err
	}
	c := newConn(q, stream, id)
	if err := c.receivePreface(ctx); err != nil {
		return err
	}
	if err := c.sendPreface(ctx); err != nil {
		return err
	}
	select {
	case t.backlog <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// identify returns the node named in the peer's certificate, which the TLS
// handshake has already verified. It is empty if the transport is insecure.
func (t *Transport) identify(q *quicgo.Conn) (model.NodeID, error) {
	if t.cfg.Insecure {
		return "", nil
	}
	refused := &IdentityError{Addr: q.RemoteAddr().String()}
	chain := q.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return "", refused
	}
	refused.Names = chain[0].DNSNames
	if len(refused.Names) != 1 || refused.Names[0] == "" {
		return "", refused
	}
	return model.NodeID(refused.Names[0]), nil
}

// Accept implements peer.Transport.
func (t *Transport) Accept(ctx context.Context) (peer.Conn, error) {
	select {
	case c := <-t.backlog:
		return c, nil
	case <-t.done:
		return nil, peer.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements peer.Transport. Peers are notified on a best-effort basis, as
// the close packets may be lost.
func (t *Transport) Close() error {
	t.once.Do(func() {
		close(t.done)
		t.cancel()
		t.listener.Close()
		t.quic.Close()
		t.socket.Close()
		t.tasks.Wait()
	})
	return nil
}
