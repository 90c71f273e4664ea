package departure

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// entry is one departure.
type entry struct {
	node     model.NodeID // empty if it isn't known
	instance string
	// incarnation is the node's incarnation in which the instance departed; 0 if it isn't known.
	incarnation uint64
	at          time.Time // when this node learned of it
	// offered is set if the node may still offer the instance.
	offered bool
	// told is the node's newest incarnation that has been told of the departure.
	told uint64
	// tellAt is when to flood the departure; zero for never. toldAt is when it was flooded last.
	tellAt, toldAt time.Time
}

// departure returns the entry as it is sent.
func (e *entry) departure() message.Departure {
	return message.Departure{Node: e.node, Instance: e.instance, Incarnation: e.incarnation, Offered: e.offered}
}

// table holds departures in the order in which they were learned.
type table struct {
	order      []*entry
	byInstance map[string]*entry
	byNode     map[model.NodeID][]*entry
	// incarnations are the newest incarnations seen, of the nodes in byNode only.
	incarnations map[model.NodeID]uint64
	// offered is the number of entries that are offered.
	offered int
}

func newTable() table {
	return table{
		byInstance:   make(map[string]*entry),
		byNode:       make(map[model.NodeID][]*entry),
		incarnations: make(map[model.NodeID]uint64),
	}
}

// add adds a departure, in place of the oldest one if there are limit already. It reports whether
// it wasn't held.
func (t *table) add(e entry, limit int) bool {
	if e.instance == "" {
		return false
	}
	if held := t.byInstance[e.instance]; held != nil {
		held.incarnation = max(held.incarnation, e.incarnation)
		return false
	}
	if len(t.order) >= limit {
		t.remove(t.order[0])
	}
	t.order = append(t.order, &e)
	if e.offered {
		t.offered++
	}
	t.byInstance[e.instance] = &e
	if e.node != "" {
		t.byNode[e.node] = append(t.byNode[e.node], &e)
		t.incarnations[e.node] = max(t.incarnations[e.node], e.incarnation)
	}
	return true
}

// expire removes the departures that were learned before a time.
func (t *table) expire(oldest time.Time) {
	for len(t.order) > 0 && t.order[0].at.Before(oldest) {
		t.remove(t.order[0])
	}
}

// remove removes a departure.
func (t *table) remove(e *entry) {
	same := func(o *entry) bool { return o == e }
	t.order = slices.DeleteFunc(t.order, same)
	delete(t.byInstance, e.instance)
	if e.offered {
		t.offered--
	}
	rest := slices.DeleteFunc(t.byNode[e.node], same)
	if len(rest) == 0 {
		delete(t.byNode, e.node)
		delete(t.incarnations, e.node)
		return
	}
	t.byNode[e.node] = rest
}
