package quic

import "fmt"

// ConfigError reports a configuration that is refused.
type ConfigError struct {
	// Field names the field.
	Field string
	// Want says what it must be.
	Want string
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Field + ": want " + e.Want }

// IdentityError refuses a peer whose certificate is missing or names no node.
type IdentityError struct {
	// Addr is the peer's address.
	Addr string
	// Names are the DNS names of the certificate.
	Names []string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer %s: certificate names %q: want one node id", e.Addr, e.Names)
}

// PrefaceError reports a peer that does not speak this protocol.
type PrefaceError struct {
	// Have is the byte received.
	Have byte
}

// Error implements error.
func (e *PrefaceError) Error() string { return fmt.Sprintf("stream opens with byte %#x", e.Have) }

// FrameError reports a frame of a refused length. The connection is closed.
type FrameError struct {
	// Size is the announced size in bytes.
	Size uint64
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("frame of %d bytes refused", e.Size) }

// MessageSize returns the refused size in bytes.
func (e *FrameError) MessageSize() uint64 { return e.Size }
