package link

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// IdentityError reports a peer that was refused because its record, its
// certificate and the dialled node do not agree, or its record names no node.
type IdentityError struct {
	// Claimed is the node named in the peer's record.
	Claimed model.NodeID
	// Certificate is the node named in the peer's certificate; empty without
	// a certificate.
	Certificate model.NodeID
	// Dialled is the node that was dialled; empty for a seed and for an
	// accepted connection.
	Dialled model.NodeID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer claims to be node %q, its certificate names %q, dialled node is %q",
		e.Claimed, e.Certificate, e.Dialled)
}

// VersionError reports a peer that was refused because it uses another protocol
// version.
type VersionError struct {
	// Have is the peer's version.
	Have uint16
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d: want %d", e.Have, message.ProtocolVersion)
}

// SelfError reports a connection of the node to itself, which was refused.
type SelfError struct{}

// Error implements error.
func (*SelfError) Error() string { return "peer is this node itself" }

// MaxPeersError reports a peer that was refused because Config.MaxPeers are
// connected.
type MaxPeersError struct {
	// Max is the limit.
	Max int
}

// Error implements error.
func (e *MaxPeersError) Error() string { return fmt.Sprintf("limit of %d peers is reached", e.Max) }

// StaleError reports a connection that was refused because a newer incarnation
// of the peer is connected.
type StaleError struct {
	// Have is the incarnation of the refused connection.
	Have uint64
	// Current is the newer incarnation, which is connected.
	Current uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("incarnation %d is stale: %d is connected", e.Have, e.Current)
}

// NotWelcomeError reports a peer that was refused because Config.Welcome
// returned nil.
type NotWelcomeError struct{}

// Error implements error.
func (*NotWelcomeError) Error() string { return "peer is not admitted at present" }

// UnexpectedError reports a message of a kind that is not allowed at that point
// of the connection.
type UnexpectedError struct {
	// Kind is the message's kind.
	Kind message.Kind
}

// Error implements error.
func (e *UnexpectedError) Error() string {
	return fmt.Sprintf("unexpected message of kind %d", e.Kind)
}

// refusalReason returns the name of a refusal in logs and metrics. It is empty
// for an error that is not a refusal, such as a closed connection.
func refusalReason(err error) string {
	switch {
	case is[*IdentityError](err):
		return "identity"
	case is[*VersionError](err):
		return "version"
	case is[*SelfError](err):
		return "self"
	case is[*MaxPeersError](err):
		return "max_peers"
	case is[*StaleError](err):
		return "stale"
	case is[*NotWelcomeError](err):
		return "not_welcome"
	case is[*UnexpectedError](err):
		return "unexpected"
	case is[*message.SizeError](err), is[sizeRefusal](err):
		return "size"
	case is[*message.KindError](err):
		return "kind"
	case is[*message.DecodeError](err):
		return "decode"
	default:
		return ""
	}
}

// isUnreadable reports whether err is for a message whose kind or body can't be decoded.
func isUnreadable(err error) bool {
	return is[*message.KindError](err) || is[*message.DecodeError](err)
}

// sizeRefusal is implemented by the error that a transport returns for a message
// of invalid size.
type sizeRefusal interface {
	error
	// MessageSize returns the invalid size in bytes.
	MessageSize() uint64
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
