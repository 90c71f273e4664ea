package distribute

import (
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// fromPlatform stands for the platform where a source is named.
const fromPlatform model.NodeID = ""

// maxReason bounds the reason of a rejection, in bytes.
const maxReason = 200

// refusal is a version that was refused from a source.
type refusal struct {
	source  model.NodeID
	version uint64
}

// raiseHead notes that a version exists.
func (c *Core) raiseHead(now time.Time, ref snapshot.Ref) {
	if !ref.Newer(c.head) {
		return
	}
	c.head = ref
	c.fetch.nextProbe = now.Add(c.around(c.cfg.ProbeInterval))
	c.zone.changed(now)
	if c.reader.headAt.IsZero() {
		c.reader.headAt = now.Add(c.cfg.MergeInterval + c.cfg.HeadDelay)
	}
}

// accept swaps to a whole snapshot if it is newer than the one held and passes
// every check; otherwise nothing changes.
func (c *Core) accept(now time.Time, source model.NodeID, s *snapshot.Snapshot) {
	if !s.Ref().Newer(c.held.Ref()) {
		return
	}
	if err := c.check(s); err != nil {
		c.reject(now, source, s.Version(), err)
		return
	}
	c.history.add(now, &c.cfg, c.held, s)
	c.held = s
	c.raiseHead(now, s.Ref())
	if c.held.Ref() == c.head {
		c.reader.headAt = time.Time{}
	}
	c.zone.changed(now)
	c.emit(Swap{Snapshot: s})
	wasReady := c.ready
	c.updateReady(now)
	c.advertAll()
	if wasReady && c.ready {
		c.ackSelf(now)
	}
}

func (c *Core) check(s *snapshot.Snapshot) error {
	if err := s.Consistent(); err != nil {
		return err
	}
	if c.cfg.Check == nil {
		return nil
	}
	return c.cfg.Check(s)
}

// reject notes that a version was refused: it is not fetched again from the
// source for a while, and the zone's reader is told why.
func (c *Core) reject(now time.Time, source model.NodeID, version uint64, err error) {
	c.refused[refusal{source: source, version: version}] = now.Add(c.cfg.RefuseFor)
	reason := err.Error()
	if len(reason) > maxReason {
		reason = reason[:maxReason]
	}
	r := message.Rejection{Node: c.self.Node, Version: version, Reason: reason}
	c.last = &r
	c.queueRejection(now, r)
}

// isRefused reports whether a version is not to be fetched from a source now.
func (c *Core) isRefused(source model.NodeID, version uint64) bool {
	_, refused := c.refused[refusal{source: source, version: version}]
	return refused
}

// isBaseOrOrder reports errors that say nothing against the version itself: a
// delta from a base that is no longer held, or one that came too late.
func isBaseOrOrder(err error) bool {
	var base *snapshot.BaseError
	var order *snapshot.VersionError
	return errors.As(err, &base) || errors.As(err, &order)
}

// isContentError reports errors that say that the version itself is bad, not
// that it could not be read.
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
