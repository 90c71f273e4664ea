package sidecar

import (
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// restarts finds nodes that have started anew. Connections to the former process of a host that has lost
// power look open until something is sent on them: the request is lost, and whether it has run isn't known.
type restarts struct {
	incarnations map[model.NodeID]uint64
	// closeIdle closes the idle connections to the gate at an address.
	closeIdle func(addr string)
}

// observe closes the idle connections to the node of a record if it has started anew since its last
// record.
func (r *restarts) observe(record *endpoint.Record) {
	if r.incarnations == nil {
		r.incarnations = make(map[model.NodeID]uint64)
	}
	before, known := r.incarnations[record.Node]
	if before == record.Incarnation {
		return
	}
	r.incarnations[record.Node] = record.Incarnation
	if known {
		r.closeIdle(record.GateAddr)
	}
}

// forget removes nodes that are no longer in the table.
func (r *restarts) forget(t *endpoint.Table) {
	if len(r.incarnations) <= t.Len() {
		return
	}
	for node := range r.incarnations {
		if _, held := t.Get(node); !held {
			delete(r.incarnations, node)
		}
	}
}
