package control

import (
	"context"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Newest returns the newest version that the accepter knows to be accepted, or
// nil when ctx ends while a change is under way.
func (a *Accepter) Newest(ctx context.Context) *snapshot.Snapshot {
	select {
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-a.turn }()
	return a.newest
}
