package balance

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// PickOptions are the requirements of a request on the server that is picked for it.
type PickOptions struct {
	// Work is the request's workload.
	Work model.Work
	// MaxNearWait is how long the request may wait for a slot at a near server before a
	// server in a farther tier is considered. At 0 any wait is too long.
	MaxNearWait time.Duration
	// MayProbe allows the request to be sent to a server that has few slots, so that this node
	// learns whether it still has. Repeatable prefers the request for that, as it may run more
	// than once.
	MayProbe, Repeatable bool
	// NearestOnly restricts the choice to the nearest tier that has servers, even if all of
	// them were tried or are ejected.
	NearestOnly bool
}
