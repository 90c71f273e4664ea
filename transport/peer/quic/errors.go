package quic

import "fmt"

// ConfigError reports an invalid configuration.
type ConfigError struct {
	// Field is the name of the invalid field, or of several.
	Field string
	// Want describes the required value.
	Want string
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Field + ": want " + e.Want }

// IdentityError reports a peer that was refused because its certificate is
// missing or does not name exactly one node.
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

// PrefaceError reports a peer whose stream does not begin with the preface, so
// that it does not use this protocol.
type PrefaceError struct {
	// Have is the byte that was received.
	Have byte
}

// Error implements error.
func (e *PrefaceError) Error() string { return fmt.Sprintf("invalid stream preface byte %#x", e.Have) }

// FrameError reports a frame that is empty or larger than message.MaxSize. On
// receipt of such a frame the connection is closed.
type FrameError struct {
	// Size is the frame's size in bytes, as sent or as announced by the peer.
	Size uint64
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("invalid frame size of %d bytes", e.Size) }

// MessageSize returns the invalid size in bytes.
func (e *FrameError) MessageSize() uint64 { return e.Size }
