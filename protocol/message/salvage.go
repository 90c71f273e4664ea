package message

import (
	"reflect"
	"slices"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

// Salvage decodes what is usable of a message that Decode refuses because of texts that are not
// UTF-8, as senders of earlier versions may send them: a Records without the elements that hold such
// a text, and a Hello or Welcome without the backend server that is named by one. It returns nil for
// any other message.
func Salvage(b []byte) Message {
	if len(b) == 0 || len(b) > MaxSize {
		return nil
	}
	m := newOf(Kind(b[0]))
	if m == nil || tolerantMode.Unmarshal(b[1:], m) != nil {
		return nil
	}
	switch m := m.(type) {
	case *Records:
		m.Records = slices.DeleteFunc(m.Records, isUnreadable[endpoint.Record])
		m.Departures = slices.DeleteFunc(m.Departures, isUnreadable[Departure])
	case *Hello:
		dropUnreadableServers(&m.Record, &m.Drained, &m.DrainedInstance)
	case *Welcome:
		dropUnreadableServers(&m.Record, &m.Drained, &m.DrainedInstance)
	default:
		return nil
	}
	if checkValues(m) != nil {
		return nil
	}
	return m
}

// isUnreadable reports whether Decode refuses a value.
func isUnreadable[T any](v T) bool {
	_, reason := unreadable(reflect.ValueOf(v))
	return reason != ""
}

// dropUnreadableServers removes the backend servers from a handshake's fields whose instance can't be
// read: that of the sender's record, and the one that the receiver had last drained.
func dropUnreadableServers(r *endpoint.Record, drained *bool, drainedInstance *string) {
	if isUnreadable(r.Instance) {
		r.Service, r.Instance, r.Version, r.Slots, r.Connections = "", "", "", 0, 0
		r.Draining, r.Cold = false, false
	}
	if isUnreadable(*drainedInstance) {
		*drained, *drainedInstance = false, ""
	}
}
