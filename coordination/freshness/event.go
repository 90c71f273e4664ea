package freshness

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Read reports a read of the store that has succeeded.
type Read struct {
	// Began is a moment before the read was asked for.
	Began time.Time
	// Version is the newest version that the store has told, by this read or, where it
	// brought no change, by those before it that it goes on from; 0 where it told none.
	Version uint64
	// Life is the store's, which rises when it comes back as an older copy of itself; 0
	// where the store has none.
	Life uint64
}

// InForce reports that a version has been put in force, after it was published to the
// requests.
type InForce struct {
	// Version is higher than that of every earlier one.
	Version uint64
}

// Met reports a life of the store that any call, or another core, has told; 0 is none. It
// may be given often.
type Met struct{ Life uint64 }

// Event implements core.Event.
func (Read) Event() {}

// Event implements core.Event.
func (InForce) Event() {}

// Event implements core.Event.
func (Met) Event() {}

// Changed reports what is proved of the version in force.
type Changed struct {
	// Moment is when it was proved to be the newest; zero for never.
	Moment time.Time
	// Behind says that a newer version is known.
	Behind bool
	// Raised says that Moment is later than before, and From names the peer that the proof
	// came from; empty for the own reads of the store.
	Raised bool
	From   model.NodeID
}

// Action implements core.Action.
func (Changed) Action() {}
