package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// reader is the state of reading the platform. Only the zone's reader polls; a
// fresh node may read the head too (see join.go).
type reader struct {
	leads       bool
	term        uint64
	sequence    uint64 // of beacons
	statusSeq   uint64
	sinceStatus int // beacons since the last zone status
	nextBeacon  time.Time
	beaconAt    time.Time // when the last beacon was sent
	beaconNow   bool
	headAt      time.Time // when a head that is not held by then is worth a beacon; zero: none new

	platformOK bool
	readAt     time.Time // when the head was last read
	reading    bool
	readBy     time.Time // when the read counts as failed
	nextPoll   time.Time
	pollFails  int
	want       snapshot.Ref // version to load from the platform
	loading    bool
	loadBy     time.Time
	nextLoad   time.Time
	loadFails  int
}

func (c *Core) leaseChanged(now time.Time, e LeaseChanged) {
	r := &c.reader
	if r.leads == e.Held && r.term == e.Term {
		return
	}
	if e.Term != r.term {
		r.sequence = 0
		r.statusSeq = 0
	}
	r.leads = e.Held
	r.term = e.Term
	if !e.Held {
		return
	}
	r.nextPoll = now
	r.pollFails = 0
	r.beaconNow = true
	c.zone.dirty = false
	c.zone.changed(now) // the members answer the new reader from now on
	c.absorbPending(now)
}

// pollTimer reads the head when it is due, and gives up a read without answer.
func (c *Core) pollTimer(now time.Time) {
	r := &c.reader
	if r.reading && !now.Before(r.readBy) {
		r.reading = false
		c.readFailed(now)
	}
	if r.leads && !r.reading && !now.Before(r.nextPoll) {
		c.readHead(now)
	}
}

func (c *Core) readHead(now time.Time) {
	c.reader.reading = true
	c.reader.readBy = now.Add(c.cfg.ReadTimeout)
	c.emit(ReadHead{})
}

func (c *Core) readFailed(now time.Time) {
	r := &c.reader
	r.platformOK = false
	r.nextPoll = now.Add(c.backoff(c.cfg.PollInterval, c.cfg.MaxPollInterval, r.pollFails))
	r.pollFails++
}

func (c *Core) headRead(now time.Time, e HeadRead) {
	r := &c.reader
	r.reading = false
	if e.Err != nil {
		c.readFailed(now)
		return
	}
	r.platformOK = true
	r.readAt = now
	r.pollFails = 0
	r.nextPoll = now.Add(c.around(c.cfg.PollInterval))
	c.raiseHead(now, e.Ref)
	c.joinHeadRead(now, e.Ref)
	if e.Ref.Newer(r.want) {
		r.want = e.Ref
		r.nextLoad = now
		r.loadFails = 0
	}
}

// loadTimer loads the version wanted from the platform unless a neighbour
// holds it, which is then fetched instead.
func (c *Core) loadTimer(now time.Time) {
	r := &c.reader
	if r.loading && !now.Before(r.loadBy) {
		r.loading = false
		c.loadFailed(now)
	}
	if r.loading || !r.want.Newer(c.held.Ref()) || now.Before(r.nextLoad) {
		return
	}
	if c.isRefused(fromPlatform, r.want.Version) || c.peerOffers(now, r.want) {
		return
	}
	r.loading = true
	r.loadBy = now.Add(c.cfg.LoadTimeout)
	c.emit(LoadVersion{Ref: r.want})
}

// peerOffers reports whether a neighbour can be asked for the version.
func (c *Core) peerOffers(now time.Time, ref snapshot.Ref) bool {
	p := c.bestSource(now)
	return p != nil && p.held.Version >= ref.Version
}

func (c *Core) loadFailed(now time.Time) {
	r := &c.reader
	r.nextLoad = now.Add(c.backoff(c.cfg.LoadRetry, c.cfg.LoadTimeout, r.loadFails))
	r.loadFails++
}

// loaded takes a version from the platform, asked for or just accepted by this
// node. Both prove that the head is at least that version.
func (c *Core) loaded(now time.Time, e Loaded) {
	c.reader.loading = false
	if e.Err == nil && e.Snapshot != nil {
		c.joinHeadRead(now, e.Snapshot.Ref())
		c.accept(now, fromPlatform, e.Snapshot)
		return
	}
	if e.Err != nil && isContentError(e.Err) && c.reader.want.Newer(c.held.Ref()) {
		c.reject(now, fromPlatform, c.reader.want.Version, e.Err)
	}
	c.loadFailed(now)
}
