package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// clockSkew is how far NotBefore lies before the time of issue, so that a host
// whose clock is behind accepts a new certificate.
const clockSkew = 5 * time.Minute

// serialBits is the size of a random serial number, in bits.
const serialBits = 127

// Authority is a site's certificate authority. It issues the certificates of
// the site's nodes and operators.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority with a new ECDSA P-256 key. Its
// certificate expires at now plus validity. The error is a *NameError when the
// site's name is not allowed in a certificate.
func NewAuthority(site string, now time.Time, validity time.Duration) (*Authority, error) {
	if !validName(site) {
		return nil, &NameError{Name: site}
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("jacinthgate authority "+site, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	cert, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte { return encodePEM(blockCertificate, a.cert.Raw) }

// Issue creates a new key and a certificate for the identity, both in PEM. The
// certificate expires at now plus validity, but no later than the authority's
// own. The error is a *NameError when the name is not allowed in a certificate.
func (a *Authority) Issue(id Identity, now time.Time, validity time.Duration) (cert, key []byte, err error) {
	if !validName(id.Name) {
		return nil, nil, &NameError{Name: id.Name}
	}
	private, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate(id.Name, now, validity)
	if err != nil {
		return nil, nil, err
	}
	if template.NotAfter.After(a.cert.NotAfter) {
		template.NotAfter = a.cert.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{id.URI()}
	if id.Role == RoleNode {
		template.DNSNames = []string{id.Name}
	}
	signed, err := sign(template, a.cert, private, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = encodeKey(private)
	return encodePEM(blockCertificate, signed.Raw), key, err
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "create key")
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "create serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign signs the template with the issuer's key and returns the parsed
// certificate. The certificate is for the public part of subject.
func sign(template, issuer *x509.Certificate, subject, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, issuer, subject.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errors.Wrap(err, "read back certificate")
}
