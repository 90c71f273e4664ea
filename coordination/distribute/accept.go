package distribute

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// platformSource is the source of versions that come from the platform instead
// of a peer.
const platformSource model.NodeID = ""

// maxReasonBytes bounds the reason given in a rejection.
const maxReasonBytes = 200

// sourceVersion identifies a version that was rejected when it came from one
// source.
type sourceVersion struct {
	source  model.NodeID
	version uint64
}

// raiseHead records that a version exists, unless a newer one is already
// recorded.
func (c *Core) raiseHead(now time.Time, ref snapshot.Ref) {
	if !ref.Newer(c.head) {
		return
	}
	c.head = ref
	c.fetch.nextProbeAt = now.Add(c.jittered(c.cfg.ProbeInterval))
	c.zone.markChanged(now)
	if c.reader.headBeaconAt.IsZero() {
		c.reader.headBeaconAt = now.Add(c.cfg.MergeInterval + c.cfg.HeadBeaconDelay)
	}
}

// accept replaces the held snapshot by a newer one that passes all checks. It
// ignores a snapshot that is not newer and rejects one that fails a check.
func (c *Core) accept(now time.Time, source model.NodeID, s *snapshot.Snapshot) {
	if !s.Ref().Newer(c.held.Ref()) {
		return
	}
	if err := c.validate(s); err != nil {
		c.reject(now, source, s.Version(), err)
		return
	}
	c.history.recordSwap(now, &c.cfg, c.held, s)
	c.held = s
	c.raiseHead(now, s.Ref())
	if c.held.Ref() == c.head {
		c.reader.headBeaconAt = time.Time{}
	}
	c.zone.markChanged(now)
	c.emit(Swap{Snapshot: s})
	wasReady := c.ready
	c.updateReady(now)
	c.advertAll()
	if wasReady && c.ready {
		c.queueOwnAck(now)
	}
}

func (c *Core) validate(s *snapshot.Snapshot) error {
	if err := s.CheckConsistency(); err != nil {
		return err
	}
	if c.cfg.Check == nil {
		return nil
	}
	return c.cfg.Check(s)
}

// reject records that a version failed validation. The node does not fetch it
// again from the same source for Config.RefuseFor, and reports the reason to
// the zone's reader.
func (c *Core) reject(now time.Time, source model.NodeID, version uint64, err error) {
	c.refusedUntil[sourceVersion{source: source, version: version}] = now.Add(c.cfg.RefuseFor)
	reason := err.Error()
	// The cut may be within a character.
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	r := message.Rejection{Node: c.self.Node, Version: version, Reason: reason}
	c.lastRejection = &r
	c.queueRejection(now, r)
}

// isRefused reports whether a version must not yet be fetched again from a
// source.
func (c *Core) isRefused(source model.NodeID, version uint64) bool {
	_, refused := c.refusedUntil[sourceVersion{source: source, version: version}]
	return refused
}

// isOutdatedDelta reports whether an error leaves the version itself valid: the
// delta's base is no longer held, or the delta arrived after a newer version.
func isOutdatedDelta(err error) bool {
	var base *snapshot.BaseError
	var order *snapshot.VersionError
	return errors.As(err, &base) || errors.As(err, &order)
}

// isContentError reports whether an error means that the version itself is
// invalid, rather than that it could not be read.
func isContentError(err error) bool {
	var codec *snapshot.CodecError
	var hash *snapshot.HashError
	var ref *snapshot.ReferenceError
	var host *snapshot.HostError
	var name *snapshot.NameError
	var empty *snapshot.NilEntryError
	return errors.As(err, &codec) || errors.As(err, &hash) || errors.As(err, &ref) ||
		errors.As(err, &host) || errors.As(err, &name) || errors.As(err, &empty)
}
