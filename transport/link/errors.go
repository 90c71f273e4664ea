package link

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// IdentityError refuses a peer that is not who it should be.
type IdentityError struct {
	// Claimed is the node that the peer's record names.
	Claimed model.NodeID
	// Certificate is the node that its certificate names; empty without one.
	Certificate model.NodeID
	// Dialled is the node that was dialled; empty when not known.
	Dialled model.NodeID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer claims to be node %q, its certificate says %q, dialled was %q",
		e.Claimed, e.Certificate, e.Dialled)
}

// VersionError refuses a peer of another protocol version.
type VersionError struct {
	// Have is the peer's version.
	Have uint16
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d: want %d", e.Have, message.ProtocolVersion)
}

// SelfError refuses a connection of the node to itself.
type SelfError struct{}

// Error implements error.
func (*SelfError) Error() string { return "peer is this node itself" }

// MaxPeersError refuses a peer beyond Config.MaxPeers.
type MaxPeersError struct {
	// Max is the bound.
	Max int
}

// Error implements error.
func (e *MaxPeersError) Error() string { return fmt.Sprintf("%d peers are the most", e.Max) }

// StaleError refuses a connection of an earlier incarnation of a peer.
type StaleError struct {
	// Have is the incarnation of the connection.
	Have uint64
	// Known is the newer incarnation that is connected.
	Known uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("incarnation %d: %d is connected", e.Have, e.Known)
}

// NotWelcomeError refuses a peer that Config.Welcome did not answer.
type NotWelcomeError struct{}

// Error implements error.
func (*NotWelcomeError) Error() string { return "peer is not admitted now" }

// UnexpectedError refuses a message that has no place where it came.
type UnexpectedError struct {
	// Kind is the message's kind.
	Kind message.Kind
}

// Error implements error.
func (e *UnexpectedError) Error() string {
	return fmt.Sprintf("message kind %d is not expected here", e.Kind)
}

// refusalReason returns the stable name of a refusal for logs and metrics. It
// is empty for an error that is no refusal, like the end of a connection.
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

// sizeRefusal is implemented by a transport's error for a message that is too
// large.
type sizeRefusal interface {
	error
	// MessageSize returns the refused size in bytes.
	MessageSize() uint64
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
