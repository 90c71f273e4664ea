package security

import (
	"path/filepath"
	"time"
)

// Names of the files that InitAuthority, IssueNode and IssueOperator write.
const (
	// AuthorityFile holds the certificates of the site's authorities.
	AuthorityFile = "ca.pem"
	// AuthorityKeyFile holds the authority's key; it stays with the operator.
	AuthorityKeyFile = "ca-key.pem"
	// CertificateFile holds an issued certificate.
	CertificateFile = "cert.pem"
	// KeyFile holds the key of an issued certificate.
	KeyFile = "key.pem"
)

// CertificateInfo describes one certificate of a file.
type CertificateInfo struct {
	// Subject is the common name.
	Subject string `json:"subject"`
	// Role is the role; empty for an authority or a foreign certificate.
	Role Role `json:"role,omitempty"`
	// Name is the node id or operator's name; empty like Role.
	Name string `json:"name,omitempty"`
	// Authority is set for a certificate authority.
	Authority bool `json:"authority"`
	// Serial is the serial number, in hexadecimal.
	Serial string `json:"serial"`
	// NotBefore and NotAfter bound the time of validity.
	NotBefore time.Time `json:"notBefore"`
	NotAfter  time.Time `json:"notAfter"`
}

// InitAuthority creates a certificate authority in dir. It returns a
// *FileError when there already is one.
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

// IssueNode issues a certificate for the node id by the authority in dir. It
// writes the files ca.pem, cert.pem and key.pem to the directory out,
// replacing those of an earlier issue.
func IssueNode(dir, id, out string, validity time.Duration) error {
	return issueFiles(dir, Identity{Role: RoleNode, Name: id}, out, validity)
}

// IssueOperator issues a certificate for an operator, like IssueNode.
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

// loadAuthority reads the authority in dir. During a rotation ca.pem holds
// several certificates; the one that belongs to the key issues. It also
// returns the whole content of ca.pem.
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

// Describe lists the certificates of a PEM file.
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
		id, _ := IdentityOf(cert) // an authority has none
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
