package freshness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// explore plays all orders of events up to a depth and returns the first that breaks the
// bound, or nil, and the number of worlds seen.
func explore(w *world, events []event, depth int) ([]event, int) {
	seen := 0
	for _, e := range events {
		n := w.clone()
		if !n.play(e) {
			continue
		}
		seen++
		if n.broken() >= 0 {
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

// All orders of a revocation, a read, passing on over two links, configurations that come
// early or late, and time that passes: links held up and nodes that freeze are orders in
// which nothing of theirs happens.
func TestNoOrderOutlivesTheBound(t *testing.T) {
	for name, c := range map[string]struct {
		depth  int
		events []event
	}{
		"passed on": {8, []event{
			{write, 0}, {begin, 0}, {serve, 0}, {finish, 0}, {right, 0}, {right, 1}, {freeze, 0}, {tick, 1},
		}},
		"two readers": {7, []event{
			{write, 0}, {begin, 0}, {serve, 0}, {finish, 0}, {begin, 2}, {serve, 2}, {finish, 2},
			{right, 0}, {left, 2}, {pause, 0}, {lead, 1},
		}},
		"configurations": {8, []event{
			{write, 0}, {begin, 0}, {serve, 0}, {finish, 0}, {right, 0}, {right, 1}, {lead, 1}, {lead, 2}, {pause, 0},
		}},
		"restarts": {6, []event{
			{write, 0}, {begin, 0}, {serve, 0}, {finish, 0}, {right, 0}, {left, 1}, {lead, 1}, {restart, 0}, {restart, 1},
			{relink, 1}, {freeze, 0},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			must.Eq(t, -1, w.broken())
			path, seen := explore(w, c.events, c.depth)
			must.Nil(t, path)
			must.Greater(t, 3_000, seen)
			t.Log(seen, "worlds")
		})
	}
}

// everything are all events at all nodes.
func everything() []event {
	var all []event
	for a := write; a <= back; a++ {
		for i := range nodes {
			all = append(all, event{a, i})
		}
	}
	return all
}

// backWithin is how long operators' rows may be missing after the store came back older.
const backWithin = 2 * time.Second

// walk plays random events and returns those up to the first that breaks the bound, or
// nil. Time passes seldom enough for proofs to be passed on.
func walk(seed uint64, length int, ageOnly bool) []event {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newWorld()
	w.ageOnly = ageOnly
	for i := range w.rate {
		w.rate[i] = rng.Int64N(401) - 200
	}
	all := everything()
	var path []event
	for range length {
		e := all[rng.IntN(len(all))]
		missing := w.shown < uint64(len(w.acked))-1
		switch {
		case e.action == restart && rng.IntN(4) > 0:
			continue
		case missing && (e.action == pause || e.action == freeze):
			// Operators' rows are back in time, and a node that starts meanwhile can't
			// know that the store is older.
			if w.now-w.restored+3*time.Second > backWithin {
				e = event{back, 0}
			}
		case missing && e.action == restart:
			continue
		}
		if !w.play(e) {
			continue
		}
		path = append(path, e)
		if w.broken() >= 0 {
			return path
		}
	}
	return nil
}

const (
	walks      = 3000
	walkLength = 150
)

func TestNoRandomRunOutlivesTheBound(t *testing.T) {
	for seed := range uint64(walks) {
		must.Nil(t, walk(seed, walkLength, false), must.Sprint("seed ", seed))
	}
}

// A message says how old its proof was when it was sent. One that lies in a buffer while a
// link is cut makes an old proof young, if that age is all that it tells: this is why
// proofs refer to the receiver's own stamps. It shows as well that the checks above see a
// broken bound.
func TestAgeAloneOutlivesTheBound(t *testing.T) {
	w := newWorld()
	w.ageOnly = true
	path, _ := explore(w, []event{{write, 0}, {begin, 0}, {serve, 0}, {finish, 0}, {right, 0}, {freeze, 0}}, 7)
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
