// Package quic implements peer.Transport over QUIC. It uses one UDP socket for
// all peers, one connection per peer, and one long-lived stream per connection.
// Each message on the stream is preceded by its length as a varint.
//
// QUIC's own keep-alive is off: the protocol's heartbeats keep a connection
// from reaching its idle timeout, and a peer that sends none must be detected.
// 0-RTT and session resumption are off, so a message is never replayed.
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
	// ServerTLS configures connections that peers open. It must require a
	// client certificate, unless Insecure is set.
	ServerTLS *tls.Config
	// ClientTLS configures connections that this node opens.
	ClientTLS *tls.Config
	// Insecure accepts peers without a certificate. All peers then have an
	// empty identity.
	Insecure bool
	// HandshakeTimeout limits the time from a peer's first packet to a usable
	// connection, and the duration of Dial.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long a connection may receive nothing before it is
	// closed. It must span a few heartbeats.
	IdleTimeout time.Duration
	// ReceiveWindow is the maximum number of unread bytes that one peer may
	// have in flight. It limits the memory of a connection and may be smaller
	// than a message.
	ReceiveWindow uint64
	// DisablePathMTUDiscovery avoids the probe packets of each new connection
	// and limits packets to 1,280 bytes.
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

// maxStreams is the number of streams that a peer may open on a connection.
const maxStreams = 1

// check returns a *ConfigError if the TLS settings are missing or would admit
// peers without a certificate although Insecure is not set.
func (c Config) check() error {
	if c.ServerTLS == nil || c.ClientTLS == nil {
		return &ConfigError{Field: "ServerTLS, ClientTLS", Want: "both set"}
	}
	if !c.Insecure && c.ServerTLS.ClientAuth < tls.RequireAnyClientCert {
		return &ConfigError{Field: "ServerTLS", Want: "a required client certificate"}
	}
	return nil
}

// quic returns the configuration for the QUIC library.
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
