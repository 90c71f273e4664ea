package message

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Departure says that an instance of a backend server is shutting down or gone.
type Departure struct {
	// Node is the node on its host; empty if the sender doesn't know it.
	Node model.NodeID `cbor:"1,keyasint"`
	// Instance is the instance.
	Instance string `cbor:"2,keyasint"`
	// Incarnation is the node's incarnation in which it departed; 0 if the sender doesn't know it.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// Kept is set in the reply to the node on the host: the sender remembers the departure.
	Kept bool `cbor:"4,keyasint,omitempty"`
	// Offered is set if the node may still offer the instance.
	Offered bool `cbor:"5,keyasint,omitempty"`
}

// Valid reports whether the names of a departure can be sent on.
func (d *Departure) Valid() bool {
	return model.ReadableText(string(d.Node), model.MaxNameLength) &&
		d.Instance != "" && model.ReadableText(d.Instance, endpoint.MaxInstance) &&
		d.Incarnation <= endpoint.MaxCounter
}
