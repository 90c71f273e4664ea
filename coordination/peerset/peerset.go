// Package peerset holds the connected peers of a core that floods its state to them, and
// schedules the anti-entropy that repairs lost messages: periodic comparisons of the state
// with a random peer.
package peerset

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// compareInterval is the time between two comparisons with a random peer. It is three times
// membership's own bound on the time until a peer must have received an update.
const compareInterval = 3 * time.Second

// Set is the set of connected peers. It is not safe for concurrent use.
type Set struct {
	rng       *rand.Rand
	ids       map[model.NodeID]bool
	compareAt time.Time // time of the next comparison
}

// New returns an empty set. The seed is that of the choice of peers to compare with.
func New(seed uint64) *Set {
	return &Set{rng: rand.New(rand.NewPCG(seed, 0)), ids: make(map[model.NodeID]bool)}
}

// Up adds a peer that has connected.
func (s *Set) Up(id model.NodeID) { s.ids[id] = true }

// Down removes a peer that has disconnected.
func (s *Set) Down(id model.NodeID) { delete(s.ids, id) }

// Has reports whether a node is a connected peer.
func (s *Set) Has(id model.NodeID) bool { return s.ids[id] }

// All returns the peers in the order of their identifiers.
func (s *Set) All() []model.NodeID { return slices.Sorted(maps.Keys(s.ids)) }

// ComparisonDue returns a random peer to compare the state with if a comparison is due, and
// schedules the next one. It reports false if none is due or no peer is connected.
func (s *Set) ComparisonDue(now time.Time) (model.NodeID, bool) {
	if now.Before(s.compareAt) {
		return "", false
	}
	s.compareAt = now.Add(compareInterval)
	if len(s.ids) == 0 {
		return "", false
	}
	ids := s.All()
	return ids[s.rng.IntN(len(ids))], true
}
