package docsync

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// newFollower returns a node that holds version 5 and gets beacons of the reader a, with the next
// beacon's sequence.
func newFollower(t *testing.T) *harness {
	h := newHarness(t)
	h.step(StoreRead{Version: 5, Body: []byte("5")})
	h.step(Members{Live: []model.NodeID{"a", "b", "self"}})
	h.connect("a", "z1")
	h.beacon(1, 5)
	must.False(t, h.core.Reading())
	return h
}

func (h *harness) beacon(sequence, version uint64) []core.Action {
	return h.receive("a", &message.ReaderBeacon{Reader: "a", Incarnation: 1, Sequence: sequence, Version: version})
}

// follow advances the time while beacons with a version arrive, and reports whether reading was on.
func (h *harness) follow(d time.Duration, sequence, version uint64) (read bool) {
	for end := h.now.Add(d); h.now.Before(end); sequence++ {
		h.advance(300 * time.Millisecond)
		h.beacon(sequence, version)
		read = read || h.core.Reading()
	}
	return read
}

// Guards against beacons that put off the read of a node that lacks the version which they name.
func TestBeaconOfAVersionThatIsNotHeldPutsOffNoRead(t *testing.T) {
	h := newFollower(t)
	must.False(t, h.follow(5*time.Second, 2, 5))
	must.True(t, h.follow(1200*time.Millisecond, 100, 6))
	h.step(StoreRead{Version: 6, Body: []byte("6")})
	must.Eq(t, 6, h.core.Held())
	must.False(t, h.follow(5*time.Second, 200, 6))
}

// Guards against beacons of earlier versions, which name no version, that count for nothing.
func TestBeaconWithoutAVersionCounts(t *testing.T) {
	h := newFollower(t)
	must.False(t, h.follow(5*time.Second, 2, 0))
}
