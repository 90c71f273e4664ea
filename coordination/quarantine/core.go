package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/peerset"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const (
	// batchDelay is the least time between two floods of news that isn't urgent: a
	// single crash is known to a peer at once, and a herd of crashes goes out ten times
	// a second.
	batchDelay = 100 * time.Millisecond
	// expireInterval is the time between two looks for what is outdated; the shortest
	// time that anything is kept is minutes.
	expireInterval = 10 * time.Second
)

// Core shares the evidence of all nodes. It takes core.Tick, core.PeerUp,
// core.PeerDown, core.Received, Crashed, Succeeded and Learned. It is not safe for
// concurrent use.
type Core struct {
	now   time.Time
	out   []core.Action
	table *suspect.Table
	peers *peerset.Set
	// own are the crashes beside this node.
	own map[uint64]bool
	// pending are the entries to pass on, with the peer that has sent each; empty for
	// the own node.
	pending map[suspect.Fingerprint]model.NodeID
	sentAt  time.Time // when news was last sent
	// urgent says that a request is quarantined, or one crash away from it: until all
	// nodes know, each may send it to one more backend server.
	urgent   bool
	expireAt time.Time // when it is time to look for what is outdated
	changed  bool
}

// New returns the core of a node that knows nothing.
func New(seed uint64) *Core {
	return &Core{
		table:   suspect.NewTable(),
		peers:   peerset.New(seed),
		own:     make(map[uint64]bool),
		pending: make(map[suspect.Fingerprint]model.NodeID),
	}
}

// View returns what the path of a request needs.
func (c *Core) View() *suspect.View { return c.table.View() }

// Witnessed returns the quarantines whose evidence has a crash beside this node.
func (c *Core) Witnessed() []suspect.Entry {
	return slices.DeleteFunc(c.table.All(), func(e suspect.Entry) bool { return !e.Quarantined() || !c.witness(e) })
}

// Step takes one event and returns the actions it leads to.
func (c *Core) Step(now time.Time, ev core.Event) []core.Action {
	c.out, c.now, c.changed = nil, now, false
	c.handle(ev)
	if c.changed {
		c.act(Changed{})
	}
	if len(c.pending) > 0 && (c.urgent || c.now.Sub(c.sentAt) >= batchDelay) {
		c.flush()
	}
	return c.out
}

func (c *Core) handle(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		c.tick()
	case core.PeerUp:
		c.peers.Up(ev.Record.Node)
		c.sendAll(ev.Record.Node)
	case core.PeerDown:
		c.peers.Down(ev.Node)
	case core.Received:
		c.received(ev.From, ev.Message)
	case Crashed:
		c.crashed(ev)
	case Succeeded:
		c.succeeded(ev.Fingerprint)
	case Learned:
		c.merge("", ev.Entries)
	}
}

func (c *Core) received(from model.NodeID, m message.Message) {
	switch m := m.(type) {
	case *message.Suspects:
		c.merge(from, m.Entries)
	case *message.SuspectsDigest:
		if m.Hash != c.table.Digest() {
			c.sendAll(from)
		}
	}
}

// crashed takes the evidence of a crash beside this node.
func (c *Core) crashed(ev Crashed) {
	if len(c.own) >= suspect.MaxEntries {
		clear(c.own) // witnesses of a later quarantine are found among other nodes
	}
	c.own[ev.Crash.ID] = true
	entries := make([]suspect.Entry, 0, len(ev.Fingerprints))
	for _, f := range ev.Fingerprints {
		entries = append(entries, suspect.Entry{Fingerprint: f, Evidence: []suspect.Evidence{{Crash: ev.Crash}}})
	}
	c.merge("", entries)
}

// merge takes entries of a peer, or of this node where from is empty, and passes on
// what is news.
func (c *Core) merge(from model.NodeID, entries []suspect.Entry) {
	for _, e := range entries {
		before, _ := c.table.Get(e.Fingerprint)
		if !c.table.Merge(c.now, e) {
			continue
		}
		c.changed = true
		c.pending[e.Fingerprint] = c.source(e.Fingerprint, from)
		after, _ := c.table.Get(e.Fingerprint)
		c.urgent = c.urgent || after.Near()
		if after.Quarantined() && !before.Quarantined() {
			c.act(Quarantined{Entry: after, Witness: c.witness(after)})
		}
	}
}

// source returns the peer that has sent all that waits to be passed on of a request;
// empty where there is none: each peer is told then.
func (c *Core) source(f suspect.Fingerprint, from model.NodeID) model.NodeID {
	if former, waits := c.pending[f]; waits && former != from {
		return ""
	}
	return from
}

// witness reports whether a crash beside this node is part of the evidence.
func (c *Core) witness(e suspect.Entry) bool {
	return slices.ContainsFunc(e.Evidence, func(v suspect.Evidence) bool { return c.own[v.Crash.ID] })
}

// succeeded clears a request. One that is a crash away from its quarantine is cleared
// everywhere; for others the one success here is enough for this node, and the next
// success anywhere clears them there.
func (c *Core) succeeded(f suspect.Fingerprint) {
	before, _ := c.table.Get(f)
	if !c.table.Refute(f) {
		return
	}
	c.changed = true
	if before.Near() {
		c.pending[f] = ""
		c.urgent = true
	}
}

func (c *Core) tick() {
	if !c.now.Before(c.expireAt) {
		c.expireAt = c.now.Add(expireInterval)
		c.changed = c.table.Expire(c.now)
	}
	c.compare()
}

// compare tells a random peer the digest, where it is time. Nodes without evidence are
// told by those that have some.
func (c *Core) compare() {
	to, due := c.peers.Compare(c.now)
	if !due || c.table.Len() == 0 {
		return
	}
	c.act(core.Send{To: to, Priority: message.Normal, Message: &message.SuspectsDigest{Hash: c.table.Digest()}})
}

// sendAll sends a peer all that is held.
func (c *Core) sendAll(to model.NodeID) {
	if c.table.Len() > 0 && c.peers.Has(to) {
		c.act(core.Send{To: to, Priority: message.Urgent, Message: &message.Suspects{Entries: c.table.All()}})
	}
}

// flush passes the waiting entries on to each peer that hasn't sent them itself.
func (c *Core) flush() {
	fingerprints := slices.Sorted(maps.Keys(c.pending))
	for _, to := range c.peers.All() {
		var news []suspect.Entry
		for _, f := range fingerprints {
			if e, held := c.table.Get(f); held && c.pending[f] != to {
				news = append(news, e)
			}
		}
		if len(news) > 0 {
			c.act(core.Send{To: to, Priority: message.Urgent, Message: &message.Suspects{Entries: news}})
		}
	}
	clear(c.pending)
	c.urgent = false
	c.sentAt = c.now
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }
