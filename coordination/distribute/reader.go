package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// readerState is the state of reading the platform and of sending beacons and
// statuses. Only the zone's reader polls; a freshly started node may read the
// head too (see join.go).
type readerState struct {
	isReader           bool
	term               uint64
	sequence           uint64 // of beacons
	statusSeq          uint64
	beaconsSinceStatus int // beacons sent since the last zone status
	nextBeaconAt       time.Time
	beaconAt           time.Time // when the last beacon was sent
	beaconPending      bool      // a beacon is due because this node became the reader
	headBeaconAt       time.Time // when a new head is sent in a beacon unless it is held by then; zero: no new head

	platformOK   bool
	readAt       time.Time // when the head was last read
	reading      bool
	readDeadline time.Time // when the read counts as failed
	nextPollAt   time.Time
	pollFailures int
	wanted       snapshot.Ref // version to load from the platform
	loading      bool
	loadDeadline time.Time
	nextLoadAt   time.Time
	loadFailures int
}

func (c *Core) leaseChanged(now time.Time, e LeaseChanged) {
	r := &c.reader
	if r.isReader == e.Held && r.term == e.Term {
		return
	}
	if e.Term != r.term {
		r.sequence = 0
		r.statusSeq = 0
	}
	r.isReader = e.Held
	r.term = e.Term
	if !e.Held {
		return
	}
	r.nextPollAt = now
	r.pollFailures = 0
	r.beaconPending = true
	c.zone.dirty = false
	c.zone.markChanged(now) // restarts StatusDelay: only from now on do members send the new reader their acknowledgements
	c.recordPending(now)
}

// pollTimer reads the head when it is due, and counts a read without an answer
// as failed.
func (c *Core) pollTimer(now time.Time) {
	r := &c.reader
	if r.reading && !now.Before(r.readDeadline) {
		r.reading = false
		c.readFailed(now)
	}
	if r.isReader && !r.reading && !now.Before(r.nextPollAt) {
		c.readHead(now)
	}
}

func (c *Core) readHead(now time.Time) {
	c.reader.reading = true
	c.reader.readDeadline = now.Add(c.cfg.ReadTimeout)
	c.emit(ReadHead{})
}

func (c *Core) readFailed(now time.Time) {
	r := &c.reader
	r.platformOK = false
	r.nextPollAt = now.Add(c.backoff(c.cfg.PollInterval, c.cfg.MaxPollInterval, r.pollFailures))
	r.pollFailures++
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
	r.pollFailures = 0
	r.nextPollAt = now.Add(c.jittered(c.cfg.PollInterval))
	c.raiseHead(now, e.Ref)
	c.joinHeadRead(now, e.Ref)
	if e.Ref.Newer(r.wanted) {
		r.wanted = e.Ref
		r.nextLoadAt = now
		r.loadFailures = 0
	}
}

// loadTimer loads the wanted version from the platform. If a neighbour holds
// that version, it is fetched from there instead.
func (c *Core) loadTimer(now time.Time) {
	r := &c.reader
	if r.loading && !now.Before(r.loadDeadline) {
		r.loading = false
		c.loadFailed(now)
	}
	if r.loading || !r.wanted.Newer(c.held.Ref()) || now.Before(r.nextLoadAt) {
		return
	}
	if c.isRefused(platformSource, r.wanted.Version) || c.peerOffers(now, r.wanted) {
		return
	}
	r.loading = true
	r.loadDeadline = now.Add(c.cfg.LoadTimeout)
	c.emit(LoadVersion{Ref: r.wanted})
}

// peerOffers reports whether a neighbour can be fetched from that holds the
// version or a newer one.
func (c *Core) peerOffers(now time.Time, ref snapshot.Ref) bool {
	p := c.bestSource(now)
	return p != nil && p.held.Version >= ref.Version
}

func (c *Core) loadFailed(now time.Time) {
	r := &c.reader
	r.nextLoadAt = now.Add(c.backoff(c.cfg.LoadRetry, c.cfg.LoadTimeout, r.loadFailures))
	r.loadFailures++
}

// loaded handles a version from the platform, which this node either requested
// or has just submitted. Both prove that the head is at least that version.
func (c *Core) loaded(now time.Time, e Loaded) {
	c.reader.loading = false
	if e.Err == nil && e.Snapshot != nil {
		c.joinHeadRead(now, e.Snapshot.Ref())
		c.accept(now, platformSource, e.Snapshot)
		return
	}
	if e.Err != nil && isContentError(e.Err) && c.reader.wanted.Newer(c.held.Ref()) {
		c.reject(now, platformSource, c.reader.wanted.Version, e.Err)
	}
	c.loadFailed(now)
}
