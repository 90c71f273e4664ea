package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/distribute"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// cutOffAfter is the age of a zone's newest report at which the zone counts as
// cut off. Reports are repeated at least every 10 s.
const cutOffAfter = 15 * time.Second

// progress says how far the fleet is with a version. It runs on the loop.
func (l *loop) progress(now time.Time, version uint64) *operator.Progress {
	p := &operator.Progress{Version: version, Zones: l.zones(now)}
	setLag(p.Zones, version)
	p.InForce = len(p.Zones) > 0
	for i := range p.Zones {
		z := &p.Zones[i]
		if z.CutOff || z.Version < version || z.Live == 0 || z.Holding != z.Live {
			p.InForce = false
		}
	}
	return p
}

// zones reports on every zone that has a member in the table, whether or not it
// was heard of lately. Before there is a version no zone reports.
func (l *loop) zones(now time.Time) []operator.ZoneProgress {
	reports := make(map[model.Zone]distribute.ZoneReport)
	status := l.dist.Status()
	for _, r := range status.Zones {
		reports[r.Status.Zone] = r
	}
	live := l.liveByZone()
	out := make([]operator.ZoneProgress, 0, len(live))
	for _, zone := range slices.Sorted(maps.Keys(live)) {
		report, heard := reports[zone]
		if !heard {
			out = append(out, operator.ZoneProgress{Zone: zone, Live: live[zone], CutOff: status.Head.Version > 0})
			continue
		}
		out = append(out, zoneProgress(now, report, live[zone]))
	}
	return out
}

// zoneProgress tells what a zone's reader reported. A node that this one knows
// and the reader has not counted yet is counted as lacking the version.
func zoneProgress(now time.Time, r distribute.ZoneReport, known uint32) operator.ZoneProgress {
	age := now.Sub(r.ReceivedAt)
	return operator.ZoneProgress{
		Zone:       r.Status.Zone,
		Version:    r.Status.Version,
		Live:       max(r.Status.Live, known),
		Holding:    r.Status.Holding,
		Missing:    r.Status.Missing,
		Rejections: rejections(r.Status.Rejections),
		CutOff:     age > cutOffAfter,
		AgeMillis:  age.Milliseconds(),
	}
}

func rejections(in []message.Rejection) []operator.Rejection {
	var out []operator.Rejection
	for _, r := range in {
		out = append(out, operator.Rejection{Node: r.Node, Version: r.Version, Reason: r.Reason})
	}
	return out
}

// zoneCount returns the number of zones with a member in the table.
func (l *loop) zoneCount() int { return len(l.member.Digest()) }

// liveByZone counts the live records of each zone that has one.
func (l *loop) liveByZone() map[model.Zone]uint32 {
	table := l.member.Table()
	live := make(map[model.Zone]uint32)
	for _, z := range l.member.Digest() {
		table.EachLive(z.Zone, func(*endpoint.Record, model.NodeKey) bool {
			live[z.Zone]++
			return true
		})
	}
	return live
}

// otherReaders returns the readers of the other zones that were heard of lately.
func (l *loop) otherReaders() map[model.Zone]model.NodeID {
	readers := make(map[model.Zone]model.NodeID)
	own := l.member.Self().Zone
	for _, r := range l.dist.Status().Zones {
		if r.Status.Zone != own && r.Status.Reader != "" {
			readers[r.Status.Zone] = r.Status.Reader
		}
	}
	return readers
}

// status tells an operator what the node knows. It runs on the loop.
func (l *loop) status(now time.Time) *operator.Status {
	out := l.summary(now)
	for _, r := range l.member.Table().All() {
		out.Nodes = append(out.Nodes, nodeStatus(r))
	}
	return out
}

// summary is the status without the single nodes.
func (l *loop) summary(now time.Time) *operator.Status {
	s := l.dist.Status()
	self := l.member.Self()
	out := &operator.Status{
		Node:    self.Node,
		Zone:    self.Zone,
		Ready:   s.Ready,
		Held:    version(s.Held),
		Head:    version(s.Head),
		Reader:  l.leaseHeld,
		Gateway: l.member.Gateway(),
		Zones:   l.zones(now),
	}
	setLag(out.Zones, s.Head.Version)
	counts := newEndpointCounts()
	l.member.Table().Each(func(r *endpoint.Record, _ model.NodeKey) bool {
		counts.add(r)
		return true
	})
	out.Endpoints = counts.sorted()
	return out
}

// noteRejection logs once that this node refused a version; it goes on with the
// one that it holds.
func (l *loop) noteRejection() {
	r := l.dist.Rejected()
	if r == nil || *r == l.rejected {
		return
	}
	l.rejected = *r
	_ = level.Error(l.log).Log("event", "version_refused", "version", r.Version, "reason", r.Reason)
}

// setLag fills in by how many versions each zone is behind head.
func setLag(zones []operator.ZoneProgress, head uint64) {
	for i := range zones {
		if z := &zones[i]; z.Version < head {
			z.Lag = head - z.Version
		}
	}
}

func version(r snapshot.Ref) operator.Version {
	return operator.Version{Version: r.Version, Hash: r.Hash.String()}
}

func nodeStatus(r endpoint.Record) operator.NodeStatus {
	return operator.NodeStatus{
		Node:        r.Node,
		Zone:        r.Zone,
		State:       r.Status.String(),
		Service:     r.Service,
		Draining:    r.Draining,
		Incarnation: r.Incarnation,
	}
}

type serviceZone struct {
	service string
	zone    model.Zone
}

// endpointCounts counts backend servers by service and zone.
type endpointCounts struct {
	counts map[serviceZone]*operator.EndpointCount
}

func newEndpointCounts() *endpointCounts {
	return &endpointCounts{counts: make(map[serviceZone]*operator.EndpointCount)}
}

func (e *endpointCounts) add(r *endpoint.Record) {
	if r.Service == "" {
		return
	}
	key := serviceZone{r.Service, r.Zone}
	c := e.counts[key]
	if c == nil {
		c = &operator.EndpointCount{Service: r.Service, Zone: r.Zone}
		e.counts[key] = c
	}
	switch {
	case r.Status >= endpoint.StatusFailed:
		c.Failed++
	case r.Status == endpoint.StatusSuspect:
		c.Suspect++
	case r.Draining:
		c.Draining++
	case r.Serving():
		c.Serving++
	}
}

func (e *endpointCounts) sorted() []operator.EndpointCount {
	out := make([]operator.EndpointCount, 0, len(e.counts))
	for _, c := range e.counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b operator.EndpointCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}
