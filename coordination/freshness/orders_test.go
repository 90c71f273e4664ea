package freshness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// explore plays all sequences of events up to a length of depth. It returns the first one
// that violates the bound, or nil, and the number of worlds visited.
func explore(w *world, events []event, depth int) ([]event, int) {
	seen := 0
	for _, e := range events {
		n := w.clone()
		if !n.play(e) {
			continue
		}
		seen++
		if n.violator() >= 0 {
			return []event{e}, seen
		}
		if depth > 1 {
			rest, more := explore(n, events, depth-1)
			seen += more
			if rest != nil {
				return append([]event{e}, rest...), seen
			}
		}
	}
	return nil, seen
}

// Plays all orders of a revocation, a read, propagation over two links, configurations that
// arrive early or late, and the passage of time. Delayed links and frozen nodes are covered:
// they are the orders in which no event of theirs occurs.
func TestNoEventOrderExceedsBound(t *testing.T) {
	for name, c := range map[string]struct {
		depth  int
		events []event
	}{
		"passed on": {8, []event{
			{write, 0}, {beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {deliverNext, 0}, {deliverNext, 1}, {freeze, 0}, {tick, 1},
		}},
		"two readers": {7, []event{
			{write, 0}, {beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {beginRead, 2}, {serveRead, 2}, {finishRead, 2},
			{deliverNext, 0}, {deliverPrevious, 2}, {pause, 0}, {copyPrevious, 1},
		}},
		"configurations": {8, []event{
			{write, 0}, {beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {deliverNext, 0}, {deliverNext, 1}, {copyPrevious, 1}, {copyPrevious, 2}, {pause, 0},
		}},
		"restarts": {6, []event{
			{write, 0}, {beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {deliverNext, 0}, {deliverPrevious, 1}, {copyPrevious, 1}, {restart, 0}, {restart, 1},
			{relink, 1}, {freeze, 0},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1)
			must.Eq(t, -1, w.violator())
			path, seen := explore(w, c.events, c.depth)
			must.Nil(t, path)
			must.Greater(t, 3_000, seen)
			t.Log(seen, "worlds")
		})
	}
}

// playAll plays events that must all be possible, and returns the world.
func (w *world) playAll(t *testing.T, events ...event) *world {
	for _, e := range events {
		must.True(t, w.play(e), must.Sprint(e))
	}
	return w
}

// The store is restored from an older copy while the middle node restarts. That node can't
// detect the restore and accepts what it reads. The other nodes must not accept its proof,
// though they haven't received the lost version yet.
func TestProofFromOlderStoreCopyIsNotPropagated(t *testing.T) {
	w := newWorld(1).playAll(t, event{write, 0}, event{restoreOlder, 0}, event{restart, 1}, event{pause, 0})
	path, seen := explore(w, []event{
		{beginRead, 1}, {serveRead, 1}, {finishRead, 1}, {deliverPrevious, 1}, {deliverNext, 0}, {deliverNext, 1}, {deliverPrevious, 2}, {tick, 1},
	}, 8)
	must.Nil(t, path)
	must.Greater(t, 3000, seen)
}

// If the store has no epoch, a node that holds a version must not accept a read of an older
// one as a proof.
func TestReadOfAnOlderVersionProvesNothing(t *testing.T) {
	w := newWorld(0).playAll(t, event{write, 0}, event{beginRead, 0}, event{serveRead, 0}, event{finishRead, 0},
		event{write, 0}, event{restoreOlder, 0}, event{pause, 0})
	path, seen := explore(w, []event{
		{beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {copyPrevious, 1}, {deliverNext, 0}, {deliverPrevious, 1}, {pause, 0}, {deliverNext, 1}, {copyPrevious, 2},
	}, 8)
	must.Nil(t, path)
	must.Greater(t, 3000, seen)
}

// allEvents returns every action at every node.
func allEvents() []event {
	var all []event
	for a := write; a <= restoreRows; a++ {
		for i := range nodes {
			all = append(all, event{a, i})
		}
	}
	return all
}

// backWithin is how long rows that operators wrote may be missing after a restore of the
// store from an older copy.
const backWithin = 2 * time.Second

// walk plays random events and returns those up to the first violation of the bound, or nil.
// Time passes seldom enough for proofs to be propagated.
func walk(seed uint64, length int, ageOnly bool) []event {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(1)
	w.ageOnly = ageOnly
	for i := range w.rate {
		w.rate[i] = rng.Int64N(401) - 200
	}
	all := allEvents()
	var path []event
	for range length {
		e := all[rng.IntN(len(all))]
		switch {
		case e.action == restart && rng.IntN(4) > 0:
			continue
		case w.missing() && e.action == freeze, w.missing() && e.action == pause && w.now-w.restored+time.Second > backWithin:
			e = event{restoreRows, 0}
		}
		if !w.play(e) {
			continue
		}
		path = append(path, e)
		if w.violator() >= 0 {
			return path
		}
	}
	return nil
}

const (
	walks      = 3000
	walkLength = 150
)

func TestNoRandomRunExceedsBound(t *testing.T) {
	for seed := range uint64(walks) {
		must.Nil(t, walk(seed, walkLength, false), must.Sprint("seed ", seed))
	}
}

// If a message stated only the age that its proof had when it was sent, an old proof would
// look recent after the message stayed in a buffer while a link was cut. This is why proofs
// refer to the receiver's own stamps. The test also shows that the checks above detect a
// violation of the bound.
func TestAgeOnlyProofsExceedBound(t *testing.T) {
	w := newWorld(1)
	w.ageOnly = true
	path, _ := explore(w, []event{{write, 0}, {beginRead, 0}, {serveRead, 0}, {finishRead, 0}, {deliverNext, 0}, {freeze, 0}}, 7)
	must.NotNil(t, path)
	must.True(t, slices.Contains(path, event{freeze, 0}))
	found := 0
	for seed := range uint64(200) {
		if walk(seed, walkLength, true) != nil {
			found++
		}
	}
	must.Positive(t, found)
}
