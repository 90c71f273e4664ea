package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// joining is what a fresh node gathers to be sure that it doesn't serve an
// older version than it served before its restart.
type joining struct {
	done     bool   // it was ready once in this life
	floorOwn uint64 // newest version that any peer knows this node to have held

	settleAt time.Time // when all neighbours may have answered; zero: no peer yet
	said     map[model.NodeID]uint64
	answered map[model.NodeID]bool

	headRead  bool
	floorHead uint64 // the platform's head, as this node first read it

	beaconTerm  uint64
	beaconSeq   uint64
	beaconAt    time.Time // when the first beacon that counts was heard
	beaconRead  bool
	floorBeacon uint64 // the reader's head, certainly read after the start

	readAt time.Time // when to read the head; zero: not planned
	reads  int
}

func newJoining() joining {
	return joining{said: make(map[model.NodeID]uint64), answered: make(map[model.NodeID]bool)}
}

func (c *Core) joinPeerUp(now time.Time, p *peer, lastHeld uint64) {
	j := &c.join
	j.floorOwn = max(j.floorOwn, lastHeld)
	if j.settleAt.IsZero() {
		j.settleAt = now.Add(c.cfg.JoinSettle)
	}
	c.joinPeerReady(p)
}

// joinPeerReady counts a peer's answer once it is ready.
func (c *Core) joinPeerReady(p *peer) {
	j := &c.join
	if j.done || !p.ready {
		return
	}
	if _, counted := j.said[p.id()]; !counted {
		j.said[p.id()] = p.held.Version
	}
	if p.answered {
		j.answered[p.id()] = true
	}
}

// joinHeadRead notes that this node read the head itself, in this life.
func (c *Core) joinHeadRead(_ time.Time, ref snapshot.Ref) {
	if c.join.done || c.join.headRead {
		return
	}
	c.join.headRead = true
	c.join.floorHead = ref.Version
}

// joinBeacon takes the zone reader's word for the head once its beacons prove
// that it read it after this node started: a beacon two later than the first
// one heard, nearly two intervals after it. PlatformOK promises a read within
// one interval before the beacon, so this holds while a beacon takes less than
// three quarters of an interval to arrive.
func (c *Core) joinBeacon(now time.Time, m *message.Beacon) {
	j := &c.join
	if j.done || j.beaconRead {
		return
	}
	if !m.PlatformOK {
		j.beaconAt = time.Time{}
		return
	}
	if j.beaconAt.IsZero() || j.beaconTerm != m.Term {
		j.beaconTerm, j.beaconSeq, j.beaconAt = m.Term, m.Sequence, now
		return
	}
	enough := 2*c.cfg.BeaconInterval - c.cfg.BeaconInterval/4
	if m.Sequence >= j.beaconSeq+2 && now.Sub(j.beaconAt) >= enough {
		j.beaconRead = true
		j.floorBeacon = m.Head.Version
	}
}

func (c *Core) joinTimer(now time.Time) {
	c.updateReady(now)
	if !c.ready {
		c.joinRead(now)
	}
}

// updateReady decides whether the node may serve, and tells its neighbours.
func (c *Core) updateReady(now time.Time) {
	held := c.held.Version()
	ready := held > 0 && held >= c.join.floorOwn && (c.join.done || c.sure(now))
	if ready == c.ready {
		return
	}
	c.ready = ready
	if ready {
		c.join = joining{done: true, floorOwn: c.join.floorOwn}
	}
	c.emit(ReadyChanged{Ready: ready})
	c.advertAll()
	c.ackSelf(now)
}

// sure reports whether the version held is certainly not older than any that
// this node served before.
func (c *Core) sure(now time.Time) bool {
	j := &c.join
	held := c.held.Version()
	if j.headRead && held >= j.floorHead {
		return true
	}
	if j.settleAt.IsZero() || now.Before(j.settleAt) {
		return false
	}
	if j.beaconRead && held >= j.floorBeacon {
		return true
	}
	if len(j.answered) >= c.quorum() && held >= c.newestSaid(false) {
		return true
	}
	timedOut := !now.Before(c.started.Add(c.cfg.JoinTimeout))
	return timedOut && c.anyReady() && held >= c.newestSaid(true)
}

// quorum returns how many ready peers must have told what they remember of
// this node: JoinQuorum, or all other known members of the zone if those are
// fewer.
func (c *Core) quorum() int {
	if c.live == nil {
		return c.cfg.JoinQuorum
	}
	return max(1, min(c.cfg.JoinQuorum, len(c.live)-1))
}

// newestSaid returns the newest version that a ready peer answered with.
func (c *Core) newestSaid(connectedOnly bool) uint64 {
	var newest uint64
	for id, v := range c.join.said {
		if !connectedOnly || c.peers[id] != nil {
			newest = max(newest, v)
		}
	}
	return newest
}

func (c *Core) anyReady() bool {
	for _, p := range c.peers {
		if p.ready {
			return true
		}
	}
	return false
}

// joinRead reads the head itself when the peers are of no help. The members of
// a zone spread their reads, so that a zone that restarts as a whole does not
// read more than a few times each second.
func (c *Core) joinRead(now time.Time) {
	j := &c.join
	if j.headRead || c.reader.leads || c.reader.reading || now.Before(c.started.Add(c.cfg.JoinReadDelay)) {
		return
	}
	if c.anyReady() && now.Before(c.started.Add(c.cfg.JoinTimeout)) {
		return
	}
	if j.readAt.IsZero() {
		spread := time.Duration(max(1, len(c.live))) * c.cfg.JoinReadSpacing
		j.readAt = now.Add(c.jitter(spread))
	}
	if now.Before(j.readAt) {
		return
	}
	j.readAt = now.Add(c.backoff(c.cfg.JoinReadDelay, c.cfg.MaxJoinRead, j.reads))
	j.reads++
	c.readHead(now)
}
