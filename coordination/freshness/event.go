package freshness

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Read reports a successful read of the store.
type Read struct {
	// Began is a moment before the read was sent.
	Began time.Time
	// Version is the newest version that the store has returned: by this read or, if it
	// brought no change, by the earlier reads that it continues; 0 if none was returned.
	Version uint64
	// Epoch is the store's epoch, which rises when the store is restored from an older copy;
	// 0 if the store has none.
	Epoch uint64
}

// InForce reports that a version has come into force, after it was published to the
// handling of requests.
type InForce struct {
	// Version is higher than that of every earlier InForce.
	Version uint64
}

// EpochSeen reports an epoch of the store that any call, or another core, has returned; 0
// for none. The same epoch may be reported repeatedly.
type EpochSeen struct{ Epoch uint64 }

// Event implements core.Event.
func (Read) Event() {}

// Event implements core.Event.
func (InForce) Event() {}

// Event implements core.Event.
func (EpochSeen) Event() {}

// Changed reports a change of what is proved about the version in force.
type Changed struct {
	// Moment is the latest moment at which the version was proved to be the newest; zero if
	// there is no proof.
	Moment time.Time
	// Behind is set when a newer version is known to exist.
	Behind bool
	// Advanced is set when Moment is later than before. From is the peer that sent the
	// proof; empty for the node's own reads of the store.
	Advanced bool
	From     model.NodeID
}

// Action implements core.Action.
func (Changed) Action() {}
