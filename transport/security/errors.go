package security

import (
	"fmt"
	"time"
)

// StrangerError refuses a certificate that no known certificate authority
// issued, or the lack of a certificate.
type StrangerError struct {
	// Subject is the certificate's common name; empty when there is none.
	Subject string
	// Err is the verifier's error; nil when there was no certificate.
	Err error
}

// Error implements error.
func (e *StrangerError) Error() string {
	if e.Err == nil {
		return "peer has no certificate"
	}
	return fmt.Sprintf("certificate of %q is not of this site: %v", e.Subject, e.Err)
}

// Unwrap returns the verifier's error.
func (e *StrangerError) Unwrap() error { return e.Err }

// ExpiredError refuses a certificate outside its time of validity.
type ExpiredError struct {
	// Subject is the certificate's common name.
	Subject string
	// NotBefore and NotAfter bound the time of validity.
	NotBefore, NotAfter time.Time
	// Now is the time of the check.
	Now time.Time
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("certificate of %q is valid from %s to %s, not at %s", e.Subject,
		stamp(e.NotBefore), stamp(e.NotAfter), stamp(e.Now))
}

func stamp(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// RoleError refuses a certificate of this site that is of the wrong role, or
// that has no role at all.
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

// WrongNodeError refuses a node's certificate that names another node than the
// one expected.
type WrongNodeError struct {
	// Have is the node that the certificate names.
	Have string
	// Want is the expected node.
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

// FormatError reports content that is not what it should be.
type FormatError struct {
	// Want says what was expected.
	Want string
}

// Error implements error.
func (e *FormatError) Error() string { return "want " + e.Want }

// NameError refuses a name that can't stand in a certificate.
type NameError struct {
	// Name is the refused name.
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("name %q: want 1 to 63 letters, digits, '-', '_' or '.'", e.Name)
}

// ReloadError reports new files that were not taken over. The files loaded
// before stay in use.
type ReloadError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ReloadError) Error() string { return "keys not reloaded: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReloadError) Unwrap() error { return e.Err }
