package security

import (
	"crypto/tls"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Protocol is the ALPN name of the protocol between nodes.
const Protocol = "jacinthgate/1"

// ServerConfig returns the configuration for connections that other nodes open.
// It accepts only nodes of the site. Like all configurations of Keys, it uses
// the content loaded last in each handshake.
func (k *Keys) ServerConfig() *tls.Config {
	cfg := k.serverFor(RoleNode)
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.NextProtos = []string{Protocol}
	return cfg
}

// GateServerConfig returns the configuration for HTTP requests of other
// nodes. It is like ServerConfig, but sets no ALPN protocol.
func (k *Keys) GateServerConfig() *tls.Config { return k.serverFor(RoleNode) }

// OperatorServerConfig returns the configuration for operators' calls. It
// accepts only operators of the site. It sets no ALPN protocol, as net/http adds
// its own.
func (k *Keys) OperatorServerConfig() *tls.Config { return k.serverFor(RoleOperator) }

// ClientConfig returns the configuration for connections to the node expect. If
// expect is empty, every node of the site is accepted.
func (k *Keys) ClientConfig(expect model.NodeID) *tls.Config {
	cfg := k.OperatorClientConfig(expect)
	cfg.NextProtos = []string{Protocol}
	return cfg
}

// OperatorClientConfig returns the configuration for an operator's calls to a
// node. It is like ClientConfig, but sets no ALPN protocol.
func (k *Keys) OperatorClientConfig(expect model.NodeID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Clients connect to nodes by IP address, so there is no host name to
		// verify: VerifyConnection checks the chain and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().own, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.checkState(state, RoleNode, string(expect))
		},
	}
}

// serverFor returns a server configuration that accepts clients of the role,
// without ALPN.
func (k *Keys) serverFor(role Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Session resumption would bypass no check, as VerifyConnection also
		// runs for resumed sessions, but its tickets cost bytes and 0-RTT is
		// not wanted.
		SessionTicketsDisabled: true,
		// A certificate is not required here: VerifyConnection, which always
		// runs, refuses a client without one, so that this refusal is reported
		// like every other.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().own, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.checkState(state, role, "")
		},
	}
}
