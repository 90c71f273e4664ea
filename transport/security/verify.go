package security

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"
)

// verify checks a certificate chain, leaf first, against the authorities in
// pool at the time now, and returns the identity in the leaf. The leaf must have
// the role want. The errors are *UntrustedError, *ExpiredError and *RoleError.
func verify(chain []*x509.Certificate, pool *x509.CertPool, now time.Time, want Role) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, &UntrustedError{}
	}
	leaf := chain[0]
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return Identity{}, refusal(leaf, now, err)
	}
	id, err := IdentityOf(leaf)
	if err != nil || id.Role != want {
		return Identity{}, &RoleError{Subject: leaf.Subject.CommonName, Have: id.Role, Want: want}
	}
	return id, nil
}

// refusal converts the error of x509's verification of leaf to an
// *ExpiredError or a *UntrustedError.
func refusal(leaf *x509.Certificate, now time.Time, err error) error {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return &ExpiredError{
			Subject:   leaf.Subject.CommonName,
			NotBefore: leaf.NotBefore,
			NotAfter:  leaf.NotAfter,
			Now:       now,
		}
	}
	return &UntrustedError{Subject: leaf.Subject.CommonName, Err: err}
}

// checkState verifies the peer's certificates on a TLS connection and reports a
// refusal to OnRefused. The peer must have the role want and, unless expect is
// empty, the name expect.
func (k *Keys) checkState(state tls.ConnectionState, want Role, expect string) error {
	current := k.current.Load()
	id, err := verify(state.PeerCertificates, current.pool, k.cfg.Now(), want)
	if err == nil && expect != "" && id.Name != expect {
		err = &WrongNodeError{Have: id.Name, Want: expect}
	}
	if err != nil {
		k.cfg.OnRefused(err)
	}
	return err
}
