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
	// Node is the node's name and Zone its availability zone.
	Node model.NodeID
	Zone model.Zone
	// Addr is the address of the node's gate.
	Addr string

	key model.NodeKey
}

// Members is a node's view of the live nodes. It is immutable.
type Members struct {
	// Zones holds the live members of each availability zone.
	Zones map[model.Zone][]Member
	// Fleet is the number of nodes, including those that failed within failedMemberTime.
	Fleet int
	// LiveFraction is the fraction of the own zone's members that this node sees live. Members that
	// failed recently may still run, with the rest of the zone, behind a network partition.
	LiveFraction float64
	// ownFrom is when this node may start to own ledgers; zero means never.
	ownFrom time.Time
}

// MayOwn reports whether this node may own ledgers, because its view of the members has settled.
func (m *Members) MayOwn(now time.Time) bool {
	return m != nil && !m.ownFrom.IsZero() && !now.Before(m.ownFrom)
}

// Owners returns the member of a zone that owns an organisation's ledger and its standby. The
// Node of a member that doesn't exist is empty.
func (m *Members) Owners(zone model.Zone, organisation string) (first, second Member) {
	if m == nil {
		return first, second
	}
	hash := xxhash.Sum64String(organisation)
	var firstScore, secondScore uint64
	for _, member := range m.Zones[zone] {
		switch score := random.Mix(hash ^ uint64(member.key)); {
		case first.Node == "" || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = member, score
		case second.Node == "" || score > secondScore:
			second, secondScore = member, score
		}
	}
	return first, second
}

// Delays after the start of a node and after the failure of a member.
const (
	// settleTime is how long the number of live members must have stayed the same after the
	// node's start before it owns ledgers: with an incomplete view it may rank itself first for
	// organisations whose ledgers other members own.
	settleTime = 300 * time.Millisecond
	// aloneSettleTime replaces settleTime, counted from the start, if the node sees no other member.
	aloneSettleTime = 3 * time.Second
	// failedMemberTime is how long failed members are counted: behind a network partition they
	// would still admit their part.
	failedMemberTime = time.Minute
)

// Tracker derives Members from a node's endpoint records. It is for use by one goroutine.
type Tracker struct {
	self           model.NodeID
	zone           model.Zone
	started        time.Time
	settled        bool
	last           *Members
	recentFailures bool // members failed within failedMemberTime
	// liveCount is the number of live members, and changedAt the time of its last change.
	liveCount int
	changedAt time.Time
}

// NewTracker returns the tracker of a node that started at the given time.
func NewTracker(self model.NodeID, zone model.Zone, started time.Time) *Tracker {
	return &Tracker{self: self, zone: zone, started: started, changedAt: started}
}

// Changing reports whether the members may change with time alone, without a change of records.
func (k *Tracker) Changing() bool { return !k.settled || k.recentFailures }

// Update returns the members according to the current records.
func (k *Tracker) Update(now time.Time, t *endpoint.Table) *Members {
	m := &Members{Zones: make(map[model.Zone][]Member)}
	live, ownLive, ownKnown := 0, 0, 0
	t.Each(func(rec *endpoint.Record, key model.NodeKey) bool {
		if rec.Status == endpoint.StatusLeft {
			return true
		}
		if !rec.Live() && now.Sub(time.Unix(rec.Died, 0)) > failedMemberTime {
			return true
		}
		m.Fleet++
		ownZone := rec.Zone == k.zone
		if ownZone {
			ownKnown++
		}
		if !rec.Live() {
			return true
		}
		live++
		if ownZone {
			ownLive++
		}
		m.Zones[rec.Zone] = append(m.Zones[rec.Zone], Member{Node: rec.Node, Zone: rec.Zone, Addr: rec.GateAddr, key: key})
		return true
	})
	m.LiveFraction = float64(ownLive) / float64(max(1, ownKnown))
	m.ownFrom = k.settle(now, live)
	k.recentFailures = m.Fleet > live
	k.last = m
	return m
}

// settle returns the time from which the node may own ledgers. Once that time has passed, the node
// stays settled.
func (k *Tracker) settle(now time.Time, live int) time.Time {
	if k.settled {
		return k.started
	}
	if k.last != nil && !k.last.ownFrom.IsZero() && !now.Before(k.last.ownFrom) {
		k.settled = true
		return k.started
	}
	if live != k.liveCount {
		k.liveCount, k.changedAt = live, now
	}
	if live <= 1 {
		return k.started.Add(aloneSettleTime)
	}
	return k.changedAt.Add(settleTime)
}
