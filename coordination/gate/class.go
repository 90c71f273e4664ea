package gate

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Class is a sort of work: requests of one class take about the same time and
// rank alike. It is comparable.
type Class struct {
	// Kind says what may be done with the requests.
	Kind model.ClassKind
	// Rank orders the classes; 0 goes first. Ranks from NumRanks-1 on are one.
	Rank int
	// Target is the time within which an answer is worth most to its caller; 0
	// when that isn't known. It tells apart classes of one kind and rank.
	Target time.Duration
}

// NumRanks is the number of ranks that are told apart: as many as there are
// kinds, which are ranks of their own where routes have none.
const NumRanks = model.NumKinds

// OfKind returns the class of requests of which only the kind is known.
func OfKind(kind model.ClassKind) Class { return Class{Kind: kind, Rank: kind.Rank()} }

// place returns the class's list in a queue.
func (c Class) place() int { return min(max(c.Rank, 0), NumRanks-1) }

// Request is what a gate needs to know of a request.
type Request struct {
	// Class is the request's sort of work.
	Class Class
	// Deadline is when the caller stops to wait.
	Deadline time.Time
	// Due is when the answer should be there; zero when nothing is known. A
	// request that can't start in time for that is refused, so that its caller
	// can come back elsewhere and others are not late as well.
	Due time.Time
}
