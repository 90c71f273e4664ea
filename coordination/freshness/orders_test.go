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
			w := newWorld(1)
			must.Eq(t, -1, w.broken())
			path, seen := explore(w, c.events, c.depth)
			must.Nil(t, path)
			must.Greater(t, 3_000, seen)
			t.Log(seen, "worlds")
		})
	}
}

// after plays events that must happen.
func (w *world) after(t *testing.T, events ...event) *world {
	for _, e := range events {
		must.True(t, w.play(e), must.Sprint(e))
	}
	return w
}

// The store comes back older while the middle node starts anew: that one can't know it and
// believes what it reads. The others must not believe it, though they have not yet got the
// version that is missing.
func TestProofOfAnOlderStoreIsNotPassedOn(t *testing.T) {
	w := newWorld(1).after(t, event{write, 0}, event{older, 0}, event{restart, 1}, event{pause, 0})
	path, seen := explore(w, []event{
		{begin, 1}, {serve, 1}, {finish, 1}, {left, 1}, {right, 0}, {right, 1}, {left, 2}, {tick, 1},
	}, 8)
	must.Nil(t, path)
	must.Greater(t, 3000, seen)
}

// Where the store tells no life, a node that holds a version doesn't believe a store that
// shows an older one.
func TestReadOfAnOlderVersionProvesNothing(t *testing.T) {
	w := newWorld(0).after(t, event{write, 0}, event{begin, 0}, event{serve, 0}, event{finish, 0},
		event{write, 0}, event{older, 0}, event{pause, 0})
	path, seen := explore(w, []event{
		{begin, 0}, {serve, 0}, {finish, 0}, {lead, 1}, {right, 0}, {left, 1}, {pause, 0}, {right, 1}, {lead, 2},
	}, 8)
	must.Nil(t, path)
	must.Greater(t, 3000, seen)
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
	w := newWorld(1)
	w.ageOnly = ageOnly
	for i := range w.rate {
		w.rate[i] = rng.Int64N(401) - 200
	}
	all := everything()
	var path []event
	for range length {
		e := all[rng.IntN(len(all))]
		switch {
		case e.action == restart && rng.IntN(4) > 0:
			continue
		case w.missing() && e.action == freeze, w.missing() && e.action == pause && w.now-w.restored+time.Second > backWithin:
			e = event{back, 0}
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
	w := newWorld(1)
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
