package message

import "github.com/jacinthgate/jacinthgate/state/evacuation"

// Evacuations carries operators' orders to evacuate availability zones or to cancel evacuations.
type Evacuations struct {
	Orders []evacuation.Order `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Evacuations) Kind() Kind { return KindEvacuations }
