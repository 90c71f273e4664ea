package security

import (
	"crypto/tls"
	"time"

	"github.com/pkg/errors"
)

// ephemeralValidity is far longer than any process runs.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// ephemeralName is the name of the authority and of the node in the
// certificates of insecure mode.
const ephemeralName = "ephemeral"

// Insecure provides TLS configurations that encrypt but verify no identity. It
// is for trials; a node uses it only when "insecure" is set in its settings.
type Insecure struct {
	cert tls.Certificate
}

// Ephemeral creates, in memory only, a key and a certificate issued by a
// throwaway authority.
func Ephemeral() (*Insecure, error) {
	a, err := NewAuthority(ephemeralName, time.Now(), ephemeralValidity)
	if err != nil {
		return nil, err
	}
	id := Identity{Role: RoleNode, Name: ephemeralName}
	cert, key, err := a.Issue(id, time.Now(), ephemeralValidity)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "load ephemeral certificate")
	}
	return &Insecure{cert: pair}, nil
}

// ServerConfig returns a configuration that accepts every client, with or
// without a certificate.
func (i *Insecure) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Certificates:           []tls.Certificate{i.cert},
		NextProtos:             []string{Protocol},
	}
}

// ClientConfig returns a configuration that accepts every server.
func (i *Insecure) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		NextProtos:         []string{Protocol},
	}
}
