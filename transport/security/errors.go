package security

import (
	"fmt"
	"time"
)

// UntrustedError reports a peer that is refused because it presented no
// certificate, or one that does not verify against the accepted authorities.
type UntrustedError struct {
	// Subject is the certificate's common name; empty when there is none.
	Subject string
	// Err is the verifier's error; nil when there was no certificate.
	Err error
}

// Error implements error.
func (e *UntrustedError) Error() string {
	if e.Err == nil {
		return "peer has no certificate"
	}
	return fmt.Sprintf("certificate of %q is not of this site: %v", e.Subject, e.Err)
}

// Unwrap returns the verifier's error.
func (e *UntrustedError) Unwrap() error { return e.Err }

// ExpiredError reports a certificate that is refused because it has expired or
// is not yet valid.
type ExpiredError struct {
	// Subject is the certificate's common name.
	Subject string
	// NotBefore and NotAfter bound the validity period.
	NotBefore, NotAfter time.Time
	// Now is the time of the check.
	Now time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("certificate of %q is valid from %s to %s, not at %s", e.Subject,
		formatTime(e.NotBefore), formatTime(e.NotAfter), formatTime(e.Now))
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// RoleError reports a certificate that is refused because it has another role
// than required, or none.
type RoleError struct {
	// Subject is the certificate's common name.
	Subject string
	// Have is the certificate's role; empty when it has none.
	Have Role
	// Want is the required role.
	Want Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("certificate of %q has role %q: want %q", e.Subject, e.Have, e.Want)
}

// WrongNodeError reports a node's certificate that is refused because it was
// issued to another node than the expected one.
type WrongNodeError struct {
	// Have is the id of the node in the certificate.
	Have string
	// Want is the id of the expected node.
	Want string
}

// Error implements error.
func (e *WrongNodeError) Error() string {
	return fmt.Sprintf("certificate is of node %q: want %q", e.Have, e.Want)
}

// FileError reports a file that can't be read, written or parsed.
type FileError struct {
	// File is the file's path.
	File string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *FileError) Error() string { return "file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// FormatError reports file content of another kind than expected.
type FormatError struct {
	// Want describes the expected content.
	Want string
}

// Error implements error.
func (e *FormatError) Error() string { return "want " + e.Want }

// NameError reports a name that is not allowed in a certificate.
type NameError struct {
	// Name is the invalid name.
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("name %q: want 1 to 63 letters, digits, '-', '_' or '.'", e.Name)
}

// ReloadError reports that Keys could not reload its files. The content loaded
// before stays in use.
type ReloadError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ReloadError) Error() string { return "keys not reloaded: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReloadError) Unwrap() error { return e.Err }
