package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthgate/jacinthgate/coordination/random"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Member is a live node.
type Member struct {
	// Node is its name and Zone its availability zone.
	Node model.NodeID
	Zone model.Zone
	// Addr is the address of its gate.
	Addr string

	key model.NodeKey
}

// Members are the live nodes as one node sees them. They are not changed once made.
type Members struct {
	// Zones are the live members of each availability zone.
	Zones map[model.Zone][]Member
	// Fleet is the number of nodes that are known, those that have failed included.
	Fleet int
	// Share is the part of the own zone's members that this node sees live. Members that
	// failed shortly before may live on behind a cut, with the rest.
	Share float64
	// ownFrom is when this node may own ledgers; the zero value is never.
	ownFrom time.Time
}

// MayOwn reports whether this node may own ledgers: it knows its zone.
func (m *Members) MayOwn(now time.Time) bool {
	return m != nil && !m.ownFrom.IsZero() && !now.Before(m.ownFrom)
}

// Owners returns the member of a zone that owns an organisation's ledger, and the one that
// is its standby. A name is empty where there is none.
func (m *Members) Owners(zone model.Zone, organisation string) (first, second Member) {
	if m == nil {
		return first, second
	}
	of := xxhash.Sum64String(organisation)
	var best, next uint64
	for _, member := range m.Zones[zone] {
		switch score := random.Mix(of ^ uint64(member.key)); {
		case first.Node == "" || score > best:
			second, next = first, best
			first, best = member, score
		case second.Node == "" || score > next:
			second, next = member, score
		}
	}
	return first, second
}

// Times of a node that has just started.
const (
	// settleTime is how long the members that a node knows must have stayed the same
	// after its start before it owns ledgers: until then it may believe that it comes first
	// for organisations that others own the ledgers of.
	settleTime = 300 * time.Millisecond
	// aloneTime is the same for a node that has found nobody.
	aloneTime = 3 * time.Second
	// missingTime is for how long members that have failed are counted: behind a cut they
	// would let in their part.
	missingTime = time.Minute
)

// Tracker makes Members of the records that a node holds. One goroutine uses it.
type Tracker struct {
	self    model.NodeID
	zone    model.Zone
	started time.Time
	settled bool
	last    *Members
	missing bool // members have failed shortly before
	// seen is the number of live members when it last changed, and at when that was.
	seen int
	at   time.Time
}

// NewTracker returns the tracker of a node that started at a moment.
func NewTracker(self model.NodeID, zone model.Zone, started time.Time) *Tracker {
	return &Tracker{self: self, zone: zone, started: started, at: started}
}

// Changing reports whether the members change with time and not with the records only.
func (k *Tracker) Changing() bool { return !k.settled || k.missing }

// Update returns the members by the records that the node holds now.
func (k *Tracker) Update(now time.Time, t *endpoint.Table) *Members {
	m := &Members{Zones: make(map[model.Zone][]Member)}
	live, near, known := 0, 0, 0
	t.Each(func(rec *endpoint.Record, key model.NodeKey) bool {
		if rec.Status == endpoint.StatusLeft {
			return true
		}
		if !rec.Live() && now.Sub(time.Unix(rec.Died, 0)) > missingTime {
			return true
		}
		m.Fleet++
		own := rec.Zone == k.zone
		if own {
			known++
		}
		if !rec.Live() {
			return true
		}
		live++
		if own {
			near++
		}
		m.Zones[rec.Zone] = append(m.Zones[rec.Zone], Member{Node: rec.Node, Zone: rec.Zone, Addr: rec.GateAddr, key: key})
		return true
	})
	m.Share = float64(near) / float64(max(1, known))
	m.ownFrom = k.settle(now, live)
	k.missing = m.Fleet > live
	k.last = m
	return m
}

// settle returns when the node may own ledgers by the members it sees.
func (k *Tracker) settle(now time.Time, live int) time.Time {
	if k.settled {
		return k.started
	}
	if k.last != nil && !k.last.ownFrom.IsZero() && !now.Before(k.last.ownFrom) {
		k.settled = true
		return k.started
	}
	if live != k.seen {
		k.seen, k.at = live, now
	}
	if live <= 1 {
		return k.started.Add(aloneTime)
	}
	return k.at.Add(settleTime)
}
