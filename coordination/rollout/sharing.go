package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/rollout"
)

// reportKey identifies a report that is to be forwarded.
type reportKey struct {
	service string
	from    reporter
}

// pendingReport is a report that is to be forwarded to all peers but the one it came from.
type pendingReport struct {
	report rollout.Report
	from   model.NodeID // empty for this node's own
}

// reportCounts shares the counts of the host's backend server if this node is a reporter.
func (c *Core) reportCounts() {
	r := c.rollouts[c.counted.Service]
	if r == nil || !r.comparing() || c.counted.Version == "" || !c.isReporter(r) {
		return
	}
	if r.instance != c.counted.Instance {
		r.baseline, r.instance = c.counted.Tallies, c.counted.Instance
	}
	c.sequence++
	c.mergeReport("", rollout.Report{
		Service: c.counted.Service, Revision: r.revision, Reporter: c.self, Incarnation: c.incarnation,
		Version: c.counted.Version, Sequence: c.sequence, Tallies: countedSince(c.counted.Tallies, r.baseline),
	})
}

// isReporter reports whether this node is one of the maxReporters nodes of its version that
// report their counts.
func (c *Core) isReporter(r *localState) bool {
	if c.view == nil {
		return false
	}
	sameVersion := func(s *endpoint.Record) bool { return s.Version == c.counted.Version }
	return c.countBefore(r, c.view.Service(c.counted.Service), maxReporters, sameVersion) < maxReporters
}

// sendDigest sends the table's digest to a random peer when the next anti-entropy exchange is
// due.
func (c *Core) sendDigest() {
	to, due := c.peers.ComparisonDue(c.now)
	if !due {
		return
	}
	c.act(core.Send{To: to, Priority: message.Normal, Message: &message.RolloutsDigest{Hash: c.table.Digest()}})
}

// sendAll sends a peer all entries, and all reports of roll-outs that have not ended.
func (c *Core) sendAll(to model.NodeID) {
	if c.table.Len() == 0 || !c.peers.Has(to) {
		return
	}
	m := &message.Rollouts{Entries: c.table.All(c.now)}
	for _, r := range c.rollouts {
		if r.phase.Final() {
			continue
		}
		for _, s := range r.evidence.series {
			m.Reports = append(m.Reports, s.last)
		}
	}
	c.act(core.Send{To: to, Priority: message.Urgent, Message: m})
}

// flush sends the pending entries and reports to the peers: entries at once, reports with the
// next entries or at the end of reportFlushInterval.
func (c *Core) flush() {
	due := len(c.pendingReports) > 0 && c.now.Sub(c.flushedAt) >= reportFlushInterval
	if len(c.pendingEntries) == 0 && !due {
		return
	}
	var entries []rollout.Entry
	for _, service := range slices.Sorted(maps.Keys(c.pendingEntries)) {
		if e, ok := c.table.Get(c.now, service); ok {
			entries = append(entries, e)
		}
	}
	for _, to := range c.peers.All() {
		m := &message.Rollouts{Entries: entries, Reports: c.reportsFor(to)}
		if len(m.Entries)+len(m.Reports) > 0 {
			c.act(core.Send{To: to, Priority: message.Urgent, Message: m})
		}
	}
	clear(c.pendingEntries)
	clear(c.pendingReports)
	c.flushedAt = c.now
}

// reportsFor returns the pending reports that didn't come from this peer, in the order of
// service, reporter and incarnation.
func (c *Core) reportsFor(to model.NodeID) []rollout.Report {
	var reports []rollout.Report
	for _, p := range c.pendingReports {
		if p.from != to {
			reports = append(reports, p.report)
		}
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Reporter, b.Reporter), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}
