package balance

import (
	"sync"
	"sync/atomic"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// zones is what a node has seen of the ways into the availability zones.
type zones struct{ byName sync.Map } // model.Zone -> *zoneWay

// zoneWay is the way into one zone. All fields are atomic.
type zoneWay struct {
	misses atomic.Int32                 // sends in a row that reached nobody
	first  atomic.Pointer[model.NodeID] // host of the first of them
	// several says that the misses were of more than one host: one may be gone.
	several atomic.Bool
	// closedUntil is when the next trial may be sent, in Unix nanoseconds; 0
	// while the way is open.
	closedUntil atomic.Int64
}

func (z *zones) of(name model.Zone) *zoneWay {
	if w, ok := z.byName.Load(name); ok {
		return w.(*zoneWay)
	}
	w, _ := z.byName.LoadOrStore(name, new(zoneWay))
	return w.(*zoneWay)
}

// reached notes that a host of the zone has answered something.
func (w *zoneWay) reached() {
	if w.misses.Load() == 0 && w.closedUntil.Load() == 0 {
		return
	}
	w.misses.Store(0)
	w.several.Store(false)
	w.closedUntil.Store(0)
}

// missed notes that a host of the zone was not reached, and closes the way after
// enough of that.
func (w *zoneWay) missed(c *Config, id model.NodeID, at int64) {
	n := w.misses.Add(1)
	first := w.first.Load()
	if n == 1 || first == nil {
		w.first.Store(&id)
		return
	}
	if *first != id {
		w.several.Store(true)
	}
	if n >= c.ZoneMisses && w.several.Load() {
		w.closedUntil.Store(at + int64(c.ZoneRetry))
	}
}

// open reports whether a request may be sent into the zone now.
func (w *zoneWay) open(at int64) bool { return at >= w.closedUntil.Load() }

// passes reports whether a request is sent into the zone: while the way is closed,
// one each ZoneRetry tries it.
func (w *zoneWay) passes(c *Config, at int64) bool {
	until := w.closedUntil.Load()
	if until == 0 {
		return true
	}
	return at >= until && w.closedUntil.CompareAndSwap(until, at+int64(c.ZoneRetry))
}

// Unreachable returns the number of zones into which nothing is sent but trials.
func (p *Picker) Unreachable() int {
	n := 0
	for _, w := range p.zones.byName.Range {
		if w.(*zoneWay).closedUntil.Load() != 0 {
			n++
		}
	}
	return n
}
