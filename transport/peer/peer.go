// Package peer defines the transport that carries encoded messages between
// nodes. Transport is an interface so that tests can run in memory and the
// daemons over QUIC or TCP.
package peer

import (
	"context"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Transport opens and accepts connections between nodes. Implementations are
// safe for concurrent use.
type Transport interface {
	// Dial opens a connection to the node at addr (IP:port). The error is a
	// *DialError.
	Dial(ctx context.Context, addr string) (Conn, error)
	// Accept waits for the next connection from a peer. It returns ErrClosed
	// once the transport is closed. After an *AcceptError it may be called again.
	Accept(ctx context.Context) (Conn, error)
	// Addr returns the local address as IP:port.
	Addr() string
	// Close closes the transport and all its connections.
	Close() error
}

// Conn is a connection to a peer. Its messages arrive complete and in order, or
// the connection fails.
type Conn interface {
	// Send sends one message. It returns ErrClosed on a closed connection. It
	// may block until the peer accepts the message or ctx ends.
	Send(ctx context.Context, msg []byte) error
	// Receive waits for the next message.
	Receive(ctx context.Context) ([]byte, error)
	// Peer returns the node named in the peer's certificate. It is empty if
	// the transport does not authenticate peers.
	Peer() model.NodeID
	// RemoteAddr returns the peer's address.
	RemoteAddr() string
	// Close closes the connection.
	Close() error
}

// ClosedError reports the use of a closed transport or connection.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "connection closed" }

// ErrClosed is returned by calls on a closed transport or connection.
var ErrClosed error = &ClosedError{}

// AcceptError reports a connection that could not be accepted, such as for want of
// file descriptors. The transport goes on listening.
type AcceptError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *AcceptError) Error() string { return "accept: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AcceptError) Unwrap() error { return e.Err }

// DialError reports a connection that could not be opened.
type DialError struct {
	// Addr is the address dialled.
	Addr string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
