package security

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Role is the use that a certificate is issued for.
type Role string

// The roles.
const (
	// RoleNode is for connections between nodes.
	RoleNode Role = "node"
	// RoleOperator is for an operator's calls to a node.
	RoleOperator Role = "operator"
)

// scheme is the scheme of the identity URI.
const scheme = "jacinthgate"

// Identity is the role and name of a certificate's owner, as the certificate
// states them in its URI.
type Identity struct {
	// Role is the owner's role.
	Role Role
	// Name is the node id or the operator's name.
	Name string
}

// URI returns the URI that encodes the identity in a certificate.
func (id Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Opaque: string(id.Role) + "/" + id.Name}
}

// IdentityOf returns the identity in a certificate, which it does not verify.
// The error is a *RoleError when the certificate has no valid identity.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme != scheme {
			continue
		}
		role, name, ok := strings.Cut(uri.Opaque, "/")
		id := Identity{Role: Role(role), Name: name}
		known := id.Role == RoleNode || id.Role == RoleOperator
		if ok && known && validName(name) {
			return id, nil
		}
	}
	return Identity{}, &RoleError{Subject: cert.Subject.CommonName}
}

// validName reports whether a name is allowed in a certificate.
func validName(name string) bool {
	if name == "" || len(name) > model.MaxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}
