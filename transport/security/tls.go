package security

import (
	"crypto/tls"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Protocol is the ALPN name of the protocol between nodes.
const Protocol = "jacinthgate/1"

// ServerConfig returns the configuration for connections that other nodes
// open. It always uses the newest files. Only nodes of the site are accepted.
func (k *Keys) ServerConfig() *tls.Config {
	cfg := k.serverFor(RoleNode)
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.NextProtos = []string{Protocol}
	return cfg
}

// GateServerConfig returns the configuration for requests of other nodes over
// HTTP: like ServerConfig, without ALPN.
func (k *Keys) GateServerConfig() *tls.Config { return k.serverFor(RoleNode) }

// OperatorServerConfig returns the configuration for calls of operators. It
// sets no ALPN; net/http adds its own. Only operators of the site are
// accepted.
func (k *Keys) OperatorServerConfig() *tls.Config { return k.serverFor(RoleOperator) }

// ClientConfig returns the configuration for connections to another node. An
// empty expect accepts every node of the site.
func (k *Keys) ClientConfig(expect model.NodeID) *tls.Config {
	cfg := k.OperatorClientConfig(expect)
	cfg.NextProtos = []string{Protocol}
	return cfg
}

// OperatorClientConfig returns the configuration for an operator's calls to a
// node: like ClientConfig, without ALPN.
func (k *Keys) OperatorClientConfig(expect model.NodeID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Nodes are reached by IP number and known by their identity:
		// VerifyConnection checks the chain and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().own, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.checkState(state, RoleNode, string(expect))
		},
	}
}

func (k *Keys) serverFor(role Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// A resumed session would skip nothing, as VerifyConnection runs for
		// it too, but its tickets cost bytes and 0-RTT is not wanted.
		SessionTicketsDisabled: true,
		// The lack of a certificate is refused by VerifyConnection, which runs
		// always, so that it is reported like every other refusal.
		ClientAuth: tls.RequestClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load().own, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.checkState(state, role, "")
		},
	}
}
