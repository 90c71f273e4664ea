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
	// batchDelay is the minimum time between two floods of evidence that isn't urgent.
	// A single crash is sent to the peers at once; many crashes in a row are batched
	// into ten floods a second.
	batchDelay = 100 * time.Millisecond
	// expireInterval is the time between two removals of expired entries. The shortest
	// retention time of an entry is minutes.
	expireInterval = 10 * time.Second
)

// Core is the state machine of one node that replicates the evidence among all nodes.
// It floods new entries and compares digests with a random peer (anti-entropy) to
// repair losses. It takes core.Tick, core.PeerUp, core.PeerDown, core.Received, Crashed,
// Succeeded and Loaded. It is not safe for concurrent use.
type Core struct {
	now   time.Time
	out   []core.Action
	table *suspect.Table
	peers *peerset.Set
	// ownCrashes holds the IDs of the crashes on this node's host.
	ownCrashes map[uint64]bool
	// pending holds the entries to forward to the peers, each with the peer that sent
	// it; empty if there is no single sender or the entry is from this node.
	pending map[suspect.Fingerprint]model.NodeID
	sentAt  time.Time // time of the last flood
	// urgent says that a pending request is quarantined or one crash away from it, or
	// was cleared in that state. Until all nodes have received a quarantine, each
	// may send the request to one more backend server.
	urgent bool
	// recorded holds the requests for which the store has evidence written by this node;
	// true if that evidence quarantines the request.
	recorded map[suspect.Fingerprint]bool
	expireAt time.Time // time of the next removal of expired entries
	changed  bool      // the view has changed in the current step
}

// New returns the core of a node without any evidence. The seed determines the order
// in which peers are chosen for comparisons.
func New(seed uint64) *Core {
	return &Core{
		table:      suspect.NewTable(),
		peers:      peerset.New(seed),
		ownCrashes: make(map[uint64]bool),
		pending:    make(map[suspect.Fingerprint]model.NodeID),
		recorded:   make(map[suspect.Fingerprint]bool),
	}
}

// View returns the suspected and quarantined requests, for use on the request path.
func (c *Core) View() *suspect.View { return c.table.View() }

// Entry returns the evidence against a request.
func (c *Core) Entry(f suspect.Fingerprint) (suspect.Entry, bool) { return c.table.Get(f) }

// Recorded returns the evidence that this node has had written to the store.
func (c *Core) Recorded() []suspect.Entry {
	return slices.DeleteFunc(c.table.All(), func(e suspect.Entry) bool {
		_, is := c.recorded[e.Fingerprint]
		return !is
	})
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
	case Loaded:
		c.loaded(ev)
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

// crashed merges the evidence of a crash on this node's host.
func (c *Core) crashed(ev Crashed) {
	if len(c.ownCrashes) >= suspect.MaxEntries {
		clear(c.ownCrashes) // other nodes are witnesses of a later quarantine
	}
	c.ownCrashes[ev.Crash.ID] = true
	entries := make([]suspect.Entry, 0, len(ev.Fingerprints))
	for _, f := range ev.Fingerprints {
		entries = append(entries, suspect.Entry{Fingerprint: f, Evidence: []suspect.Evidence{{Crash: ev.Crash}}})
	}
	c.merge("", entries)
}

// loaded merges the evidence in the store. Evidence and refutations of one request may
// stand in entries of different writers, so they are merged before they count.
func (c *Core) loaded(ev Loaded) {
	merged := make(map[suspect.Fingerprint]*suspect.Entry, len(ev.Entries))
	for _, e := range ev.Entries {
		if merged[e.Fingerprint] == nil {
			merged[e.Fingerprint] = &suspect.Entry{Fingerprint: e.Fingerprint}
		}
		merged[e.Fingerprint].Absorb(e)
	}
	entries := make([]suspect.Entry, 0, len(merged))
	for _, f := range slices.Sorted(maps.Keys(merged)) {
		entries = append(entries, *merged[f])
	}
	c.merge("", entries)
	for _, e := range ev.Own {
		if _, known := c.recorded[e.Fingerprint]; !known {
			c.recorded[e.Fingerprint] = e.Quarantined()
			c.record(e.Fingerprint)
		}
	}
}

// record has the evidence against a request written to the store if this node is to
// write it and the store has another verdict from this node.
func (c *Core) record(f suspect.Fingerprint) {
	e, held := c.table.Get(f)
	quarantined, written := c.recorded[f]
	if !held || quarantined == e.Quarantined() || !written && !c.witness(e) {
		return
	}
	c.recorded[f] = e.Quarantined()
	c.act(Record{Fingerprint: f})
}

// merge merges entries of a peer, or of this node if from is empty, into the table and
// queues those that add evidence for the other peers.
func (c *Core) merge(from model.NodeID, entries []suspect.Entry) {
	for _, e := range entries {
		before, _ := c.table.Get(e.Fingerprint)
		if !c.table.Merge(c.now, e) {
			continue
		}
		c.changed = true
		c.pending[e.Fingerprint] = c.source(e.Fingerprint, from)
		after, _ := c.table.Get(e.Fingerprint)
		c.urgent = c.urgent || after.NearThreshold()
		if after.Quarantined() && !before.Quarantined() {
			c.act(Quarantined{Entry: after, Witness: c.witness(after)})
		}
		c.record(e.Fingerprint)
	}
}

// source returns the peer that has sent all pending evidence of a request, given that
// more has come from the named peer. It returns an empty ID if there is no single
// sender; the entry then goes to every peer.
func (c *Core) source(f suspect.Fingerprint, from model.NodeID) model.NodeID {
	if former, queued := c.pending[f]; queued && former != from {
		return ""
	}
	return from
}

// witness reports whether the evidence includes a crash on this node's host.
func (c *Core) witness(e suspect.Entry) bool {
	return slices.ContainsFunc(e.Evidence, func(v suspect.Evidence) bool { return c.ownCrashes[v.Crash.ID] })
}

// succeeded clears a request. If the request is quarantined or one crash away from it,
// the clearing is flooded to all nodes. Otherwise only this node clears it; each other
// node does so at the next success that it sees itself.
func (c *Core) succeeded(f suspect.Fingerprint) {
	before, _ := c.table.Get(f)
	if !c.table.Refute(f) {
		return
	}
	c.changed = true
	if before.NearThreshold() {
		c.pending[f] = ""
		c.urgent = true
	}
	if before.Quarantined() {
		// The writers of the quarantine may have ended.
		c.recorded[f] = true
	}
	c.record(f)
}

func (c *Core) tick() {
	if !c.now.Before(c.expireAt) {
		c.expireAt = c.now.Add(expireInterval)
		c.changed = c.table.Expire(c.now)
		maps.DeleteFunc(c.recorded, func(f suspect.Fingerprint, _ bool) bool {
			_, held := c.table.Get(f)
			return !held
		})
	}
	c.sendDigest()
}

// sendDigest sends the digest to a random peer if a comparison is due. A node without
// evidence sends none: the comparisons of nodes that hold evidence cover it.
func (c *Core) sendDigest() {
	to, due := c.peers.ComparisonDue(c.now)
	if !due || c.table.Len() == 0 {
		return
	}
	c.act(core.Send{To: to, Priority: message.Normal, Message: &message.SuspectsDigest{Hash: c.table.Digest()}})
}

// sendAll sends a peer all entries.
func (c *Core) sendAll(to model.NodeID) {
	if c.table.Len() > 0 && c.peers.Has(to) {
		c.act(core.Send{To: to, Priority: message.Urgent, Message: &message.Suspects{Entries: c.table.All()}})
	}
}

// flush sends the pending entries to each peer, except those that the peer itself sent.
func (c *Core) flush() {
	fingerprints := slices.Sorted(maps.Keys(c.pending))
	for _, to := range c.peers.All() {
		var entries []suspect.Entry
		for _, f := range fingerprints {
			if e, held := c.table.Get(f); held && c.pending[f] != to {
				entries = append(entries, e)
			}
		}
		if len(entries) > 0 {
			c.act(core.Send{To: to, Priority: message.Urgent, Message: &message.Suspects{Entries: entries}})
		}
	}
	clear(c.pending)
	c.urgent = false
	c.sentAt = c.now
}

func (c *Core) act(a core.Action) { c.out = append(c.out, a) }
