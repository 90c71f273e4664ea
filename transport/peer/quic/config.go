// Package quic is a peer.Transport over QUIC: one UDP socket for all peers, one
// connection for each peer, and on it one long-lived stream with messages of a
// length prefix each.
//
// QUIC's own keep-alive is off: the protocol's heartbeats keep a connection
// from idling out, and a peer that sends none is to be found out. 0-RTT and
// session resumption are off, so a message is never replayed.
package quic

import (
	"crypto/tls"
	"time"

	quicgo "github.com/quic-go/quic-go"
)

// Config configures a Transport.
type Config struct {
	// ListenAddr is the UDP address to listen on, IP:port. Port 0 lets the
	// kernel choose.
	ListenAddr string
	// ServerTLS is for connections that peers open. It must require a client
	// certificate, unless Insecure is set.
	ServerTLS *tls.Config
	// ClientTLS is for connections that this node opens.
	ClientTLS *tls.Config
	// Insecure accepts peers without a certificate. All peers then have an
	// empty identity.
	Insecure bool
	// HandshakeTimeout bounds the time from a peer's first packet to a usable
	// connection, and a Dial whose context has no earlier end.
	HandshakeTimeout time.Duration
	// IdleTimeout ends a connection from which nothing was heard. It must be
	// a few heartbeats long.
	IdleTimeout time.Duration
	// ReceiveWindow is the most bytes in flight from one peer that wait to be
	// read. It bounds the memory of a connection; a whole message need not fit.
	ReceiveWindow uint64
	// DisablePathMTUDiscovery saves the probe packets of each new connection
	// and keeps packets at 1,280 bytes.
	DisablePathMTUDiscovery bool
}

// Defaults of Config.
const (
	defaultHandshakeTimeout = 3 * time.Second
	defaultIdleTimeout      = 10 * time.Second
	defaultReceiveWindow    = 64 << 10
)

// DefaultConfig returns the defaults, without an address and TLS.
func DefaultConfig() Config {
	return Config{
		HandshakeTimeout: defaultHandshakeTimeout,
		IdleTimeout:      defaultIdleTimeout,
		ReceiveWindow:    defaultReceiveWindow,
	}
}

// maxStreams is the number of streams a peer may open: the one.
const maxStreams = 1

// check returns a *ConfigError for a configuration that can't be safe.
func (c Config) check() error {
	if c.ServerTLS == nil || c.ClientTLS == nil {
		return &ConfigError{Field: "ServerTLS, ClientTLS", Want: "both set"}
	}
	if !c.Insecure && c.ServerTLS.ClientAuth < tls.RequireAnyClientCert {
		return &ConfigError{Field: "ServerTLS", Want: "a required client certificate"}
	}
	return nil
}

func (c Config) quic() *quicgo.Config {
	return &quicgo.Config{
		HandshakeIdleTimeout:           c.HandshakeTimeout,
		MaxIdleTimeout:                 c.IdleTimeout,
		InitialStreamReceiveWindow:     c.ReceiveWindow,
		MaxStreamReceiveWindow:         c.ReceiveWindow,
		InitialConnectionReceiveWindow: c.ReceiveWindow,
		MaxConnectionReceiveWindow:     c.ReceiveWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        c.DisablePathMTUDiscovery,
	}
}
