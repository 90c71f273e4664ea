package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// joinState is what a freshly started node collects to make sure that it does
// not serve an older version than it served before its restart.
type joinState struct {
	done         bool   // the node has been ready since it started
	minFromPeers uint64 // newest version that any peer remembers this node to have held

	settleAt      time.Time               // end of Config.JoinSettle; zero: no peer yet
	readyVersions map[model.NodeID]uint64 // version of each peer when it was first seen ready
	answered      map[model.NodeID]bool   // ready peers that have sent the version that they remember

	headRead    bool   // this node has read the head itself
	minFromHead uint64 // the platform's head at that read

	beaconTerm    uint64    // of the first beacon that counts
	beaconSeq     uint64    // of the first beacon that counts
	beaconAt      time.Time // when that beacon was received; zero: none was
	beaconProven  bool      // beacons prove a read of the head after the start
	minFromBeacon uint64    // the reader's head at that proof

	nextReadAt time.Time // when to read the head next; zero: not scheduled
	reads      int       // reads of the head so far
}

func newJoinState() joinState {
	return joinState{readyVersions: make(map[model.NodeID]uint64), answered: make(map[model.NodeID]bool)}
}

func (c *Core) joinPeerUp(now time.Time, p *peer, lastHeld uint64) {
	j := &c.join
	j.minFromPeers = max(j.minFromPeers, lastHeld)
	if j.settleAt.IsZero() {
		j.settleAt = now.Add(c.cfg.JoinSettle)
	}
	c.joinPeerReady(p)
}

// joinPeerReady records a peer's version and whether it has answered, once the
// peer is ready.
func (c *Core) joinPeerReady(p *peer) {
	j := &c.join
	if j.done || !p.ready {
		return
	}
	if _, counted := j.readyVersions[p.id()]; !counted {
		j.readyVersions[p.id()] = p.held.Version
	}
	if p.answered {
		j.answered[p.id()] = true
	}
}

// joinHeadRead records the first head that this node read itself since it
// started.
func (c *Core) joinHeadRead(_ time.Time, ref snapshot.Ref) {
	if c.join.done || c.join.headRead {
		return
	}
	c.join.headRead = true
	c.join.minFromHead = ref.Version
}

// joinBeacon accepts the head in the zone reader's beacons once they prove that
// the reader read it after this node started. The proof is a beacon at least
// two later than the first one received, and nearly two intervals after it.
// PlatformOK promises a read within one interval before the beacon, so the
// proof holds while a beacon takes less than three quarters of an interval to
// arrive.
func (c *Core) joinBeacon(now time.Time, m *message.Beacon) {
	j := &c.join
	if j.done || j.beaconProven {
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
	minSpan := 2*c.cfg.BeaconInterval - c.cfg.BeaconInterval/4
	if m.Sequence >= j.beaconSeq+2 && now.Sub(j.beaconAt) >= minSpan {
		j.beaconProven = true
		j.minFromBeacon = m.Head.Version
	}
}

func (c *Core) joinTimer(now time.Time) {
	c.updateReady(now)
	if !c.ready {
		c.joinReadHead(now)
	}
}

// updateReady decides whether the node may serve requests. A change is reported
// to the driver, the neighbours and the zone's reader.
func (c *Core) updateReady(now time.Time) {
	held := c.held.Version()
	ready := held > 0 && held >= c.join.minFromPeers && (c.join.done || c.rollbackSafe(now))
	if ready == c.ready {
		return
	}
	c.ready = ready
	if ready {
		c.join = joinState{done: true, minFromPeers: c.join.minFromPeers}
	}
	c.emit(ReadyChanged{Ready: ready})
	c.advertAll()
	c.queueOwnAck(now)
}

// rollbackSafe reports whether the version held is certainly not older than any
// that this node served before it restarted.
func (c *Core) rollbackSafe(now time.Time) bool {
	j := &c.join
	held := c.held.Version()
	if j.headRead && held >= j.minFromHead {
		return true
	}
	if j.settleAt.IsZero() || now.Before(j.settleAt) {
		return false
	}
	if j.beaconProven && held >= j.minFromBeacon {
		return true
	}
	if len(j.answered) >= c.quorum() && held >= c.newestReadyVersion(false) {
		return true
	}
	timedOut := !now.Before(c.started.Add(c.cfg.JoinTimeout))
	return timedOut && c.anyReady() && held >= c.newestReadyVersion(true)
}

// quorum returns how many ready peers must have sent the version that they
// remember this node to have held: JoinQuorum, or all other live members of the
// zone if those are fewer, but at least one.
func (c *Core) quorum() int {
	if c.liveMembers == nil {
		return c.cfg.JoinQuorum
	}
	return max(1, min(c.cfg.JoinQuorum, len(c.liveMembers)-1))
}

// newestReadyVersion returns the newest version that a ready peer held when it
// was first seen ready. With connectedOnly, peers that have disconnected do not
// count.
func (c *Core) newestReadyVersion(connectedOnly bool) uint64 {
	var newest uint64
	for id, v := range c.join.readyVersions {
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

// joinReadHead reads the head when this node cannot become ready from its
// peers: none is ready, or JoinTimeout has passed. The members of a zone spread
// these reads, so that a restart of the whole zone causes about one read per
// JoinReadSpacing.
func (c *Core) joinReadHead(now time.Time) {
	j := &c.join
	if j.headRead || c.reader.isReader || c.reader.reading || now.Before(c.started.Add(c.cfg.JoinReadDelay)) {
		return
	}
	if c.anyReady() && now.Before(c.started.Add(c.cfg.JoinTimeout)) {
		return
	}
	if j.nextReadAt.IsZero() {
		window := time.Duration(max(1, len(c.liveMembers))) * c.cfg.JoinReadSpacing
		j.nextReadAt = now.Add(c.jitter(window))
	}
	if now.Before(j.nextReadAt) {
		return
	}
	j.nextReadAt = now.Add(c.backoff(c.cfg.JoinReadDelay, c.cfg.MaxJoinRead, j.reads))
	j.reads++
	c.readHead(now)
}
