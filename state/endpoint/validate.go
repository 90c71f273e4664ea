package endpoint

import (
	"fmt"
	"net/netip"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Limits on the numeric fields of a record. Validate rejects a record that exceeds
// any of them.
const (
	// MaxSlots is the maximum number of slots of one backend server.
	MaxSlots = 1 << 16
	// MaxConnections is the maximum number of connections of one backend
	// server.
	MaxConnections = 1 << 20
	// MaxCounter is the maximum incarnation and sequence. It prevents a received
	// record from advancing its owner's counter to the end of the counter's
	// range.
	MaxCounter = 1 << 62
)

// InvalidRecordError reports a record with an invalid field.
type InvalidRecordError struct {
	// Node is the owner as given in the record.
	Node model.NodeID
	// Field is the name of the invalid field.
	Field string
	// Reason describes the fault.
	Reason string
}

// Error implements error.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("record of node %.80q: %s: %s", string(e.Node), e.Field, e.Reason)
}

// Validate checks a record received from another node. It returns an
// *InvalidRecordError for the first invalid field.
func Validate(r *Record) error {
	if field := invalidName(r); field != "" {
		return &InvalidRecordError{Node: r.Node, Field: field, Reason: "empty, too long or not UTF-8"}
	}
	if field := invalidAddr(r); field != "" {
		return &InvalidRecordError{Node: r.Node, Field: field, Reason: "want IP:port"}
	}
	if field := invalidNumber(r); field != "" {
		return &InvalidRecordError{Node: r.Node, Field: field, Reason: "out of range"}
	}
	return nil
}

// MaxInstance is the maximum length of Record.Instance in bytes; an instance is an
// identifier and the time of a start.
const MaxInstance = model.MaxNameLength + 16

// invalidName returns the first text field that is missing, too long or not UTF-8, or "".
func invalidName(r *Record) string {
	switch {
	case r.Node == "" || !model.ReadableText(string(r.Node), model.MaxNameLength):
		return "node"
	case r.Zone == "" || !model.ReadableText(string(r.Zone), model.MaxNameLength):
		return "zone"
	case !model.ReadableText(string(r.Region), model.MaxNameLength):
		return "region"
	case !model.ReadableText(r.Service, model.MaxNameLength):
		return "service"
	case !model.ReadableText(r.Version, model.MaxNameLength):
		return "version"
	case !model.ReadableText(r.Instance, MaxInstance):
		return "instance"
	}
	return ""
}

// invalidAddr returns the first address field that is not a valid IP:port, or "".
// The gate's address may be missing while no service is offered.
func invalidAddr(r *Record) string {
	if !validAddr(r.PeerAddr) {
		return "peerAddr"
	}
	if r.GateAddr == "" && r.Service == "" {
		return ""
	}
	if !validAddr(r.GateAddr) {
		return "gateAddr"
	}
	return ""
}

func validAddr(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
}

// invalidNumber returns the first numeric field that is out of range, or "".
func invalidNumber(r *Record) string {
	switch {
	case r.Incarnation > MaxCounter:
		return "incarnation"
	case r.Sequence > MaxCounter:
		return "sequence"
	case r.Status > StatusLeft:
		return "status"
	case r.Slots < 0 || r.Slots > MaxSlots:
		return "slots"
	case r.Connections < 0 || r.Connections > MaxConnections:
		return "connections"
	case r.Died < 0:
		return "died"
	}
	return ""
}
