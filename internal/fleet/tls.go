package fleet

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/operatorclient"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// certificateValidity is far longer than a fleet runs.
const certificateValidity = time.Hour

// operatorName is the operator of a fleet with TLS.
const operatorName = "operator"

// AuthorityDir is the directory of the fleet's certificate authority.
func (f *Fleet) AuthorityDir() string { return filepath.Join(f.cfg.Dir, "ca") }

// OperatorDir is the directory of the operator's certificate.
func (f *Fleet) OperatorDir() string { return filepath.Join(f.cfg.Dir, "operator-tls") }

// TLSDir is the directory of the node's certificate.
func (m *Member) TLSDir() string { return filepath.Join(m.fleet.cfg.Dir, string(m.Node)+"-tls") }

// issue makes the authority and all certificates.
func (f *Fleet) issue() error {
	if !f.cfg.TLS {
		return nil
	}
	if err := security.InitAuthority(f.AuthorityDir(), "fleet", certificateValidity); err != nil {
		return err
	}
	return f.Reissue(f.AuthorityDir())
}

// Reissue replaces the certificates of all nodes and of the operator by new ones
// of the authority in a directory. Nodes take them over while they run.
func (f *Fleet) Reissue(authority string) error {
	for _, m := range f.Members {
		if err := security.IssueNode(authority, string(m.Node), m.TLSDir(), certificateValidity); err != nil {
			return err
		}
	}
	return security.IssueOperator(authority, operatorName, f.OperatorDir(), certificateValidity)
}

// tlsSettings are a node's settings of its certificate.
func (m *Member) tlsSettings() map[string]any {
	return map[string]any{
		"ca":             filepath.Join(m.TLSDir(), security.AuthorityFile),
		"certificate":    filepath.Join(m.TLSDir(), security.CertificateFile),
		"key":            filepath.Join(m.TLSDir(), security.KeyFile),
		"reloadInterval": "1s",
	}
}

// OperatorAddr is the address for operators with a certificate.
func (m *Member) OperatorAddr() string { return m.addr(portOperator) }

// OperatorURL is the base URL for operators with a certificate.
func (m *Member) OperatorURL() string { return "https://" + m.OperatorAddr() }

// GateAddr is the address of the node's gate.
func (m *Member) GateAddr() string { return m.addr(portGate) }

// PeerAddr is the UDP address of the node's control traffic.
func (m *Member) PeerAddr() string { return m.addr(portPeer) }

// SecureOperator returns a client that calls the node's operator address with
// the operator's certificate.
func (m *Member) SecureOperator() (*operatorclient.Client, error) {
	cfg, err := ClientTLS(m.fleet.OperatorDir(), security.RoleOperator)
	if err != nil {
		return nil, err
	}
	hc := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{TLSClientConfig: cfg}}
	return operatorclient.New(m.OperatorURL(), hc), nil
}

// ClientTLS returns the configuration of a client with the certificate in a
// directory.
func ClientTLS(dir string, role security.Role) (*tls.Config, error) {
	cfg := security.DefaultConfig()
	cfg.AuthorityFile = filepath.Join(dir, security.AuthorityFile)
	cfg.CertificateFile = filepath.Join(dir, security.CertificateFile)
	cfg.KeyFile = filepath.Join(dir, security.KeyFile)
	cfg.Role = role
	keys, err := security.Load(cfg)
	if err != nil {
		return nil, err
	}
	return keys.OperatorClientConfig(""), nil
}

// CtlSettings returns settings of jacinthgatectl that name the node.
func (m *Member) CtlSettings() string {
	dir := m.fleet.OperatorDir()
	return fmt.Sprintf(`{"node":%q,"tls":{"ca":%q,"certificate":%q,"key":%q}}`, m.OperatorURL(),
		filepath.Join(dir, security.AuthorityFile), filepath.Join(dir, security.CertificateFile), filepath.Join(dir, security.KeyFile))
}
