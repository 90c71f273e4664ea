package security

import (
	"path/filepath"
	"time"
)

// Names of the files that InitAuthority, IssueNode and IssueOperator write.
const (
	// AuthorityFile holds the certificates of the site's authorities.
	AuthorityFile = "ca.pem"
	// AuthorityKeyFile holds the authority's key. It is not copied to nodes;
	// the operator keeps it.
	AuthorityKeyFile = "ca-key.pem"
	// CertificateFile holds an issued certificate.
	CertificateFile = "cert.pem"
	// KeyFile holds the key of an issued certificate.
	KeyFile = "key.pem"
)

// CertificateInfo describes one certificate of a PEM file for the operator.
type CertificateInfo struct {
	// Subject is the common name.
	Subject string `json:"subject"`
	// Role is the role; empty for an authority and for a certificate without a
	// valid identity.
	Role Role `json:"role,omitempty"`
	// Name is the node id or the operator's name; empty when Role is.
	Name string `json:"name,omitempty"`
	// Authority is set for a certificate authority.
	Authority bool `json:"authority"`
	// Serial is the serial number, in hexadecimal.
	Serial string `json:"serial"`
	// NotBefore and NotAfter bound the validity period.
	NotBefore time.Time `json:"notBefore"`
	NotAfter  time.Time `json:"notAfter"`
}

// InitAuthority creates a certificate authority for the site and writes its
// key and certificate to dir. It returns a *FileError if dir already holds one.
func InitAuthority(dir, site string, validity time.Duration) error {
	a, err := NewAuthority(site, time.Now(), validity)
	if err != nil {
		return err
	}
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := createFile(filepath.Join(dir, AuthorityKeyFile), key); err != nil {
		return err
	}
	return createFile(filepath.Join(dir, AuthorityFile), a.Certificate())
}

// IssueNode issues a certificate for the node id, signed by the authority in
// dir. It writes ca.pem, cert.pem and key.pem to the directory out, replacing
// files written there before.
func IssueNode(dir, id, out string, validity time.Duration) error {
	return issueFiles(dir, Identity{Role: RoleNode, Name: id}, out, validity)
}

// IssueOperator is like IssueNode, but issues a certificate for an operator.
func IssueOperator(dir, name, out string, validity time.Duration) error {
	return issueFiles(dir, Identity{Role: RoleOperator, Name: name}, out, validity)
}

func issueFiles(dir string, id Identity, out string, validity time.Duration) error {
	a, authorities, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	cert, key, err := a.Issue(id, time.Now(), validity)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(out, AuthorityFile), authorities); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(out, KeyFile), key); err != nil {
		return err
	}
	return writeFile(filepath.Join(out, CertificateFile), cert)
}

// loadAuthority returns the authority in dir and the whole content of ca.pem.
// During a rotation ca.pem holds several certificates; the authority is the one
// whose public key matches the key file.
func loadAuthority(dir string) (*Authority, []byte, error) {
	file := filepath.Join(dir, AuthorityFile)
	content, err := readFile(file)
	if err != nil {
		return nil, nil, err
	}
	certs, err := parseCertificates(content)
	if err != nil {
		return nil, nil, &FileError{File: file, Err: err}
	}
	keyFile := filepath.Join(dir, AuthorityKeyFile)
	keyContent, err := readFile(keyFile)
	if err != nil {
		return nil, nil, err
	}
	key, err := parseKey(keyContent)
	if err != nil {
		return nil, nil, &FileError{File: keyFile, Err: err}
	}
	for _, cert := range certs {
		if cert.IsCA && key.PublicKey.Equal(cert.PublicKey) {
			return &Authority{cert: cert, key: key}, content, nil
		}
	}
	return nil, nil, &FileError{File: file, Err: &FormatError{Want: "the certificate of the authority's key"}}
}

// Describe returns the certificates of a PEM file, in the order of the file. It
// does not verify them.
func Describe(file string) ([]CertificateInfo, error) {
	content, err := readFile(file)
	if err != nil {
		return nil, err
	}
	certs, err := parseCertificates(content)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	infos := make([]CertificateInfo, 0, len(certs))
	for _, cert := range certs {
		id, _ := IdentityOf(cert) // an authority has no identity
		infos = append(infos, CertificateInfo{
			Subject:   cert.Subject.CommonName,
			Role:      id.Role,
			Name:      id.Name,
			Authority: cert.IsCA,
			Serial:    cert.SerialNumber.Text(16),
			NotBefore: cert.NotBefore,
			NotAfter:  cert.NotAfter,
		})
	}
	return infos, nil
}
