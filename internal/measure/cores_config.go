package measure

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/admit"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Sizes of the configuration that are measured; the last is the design size.
var contractSizes = []int{500, 1000, 2000}

// designServices is the number of services of the design size.
const designServices = 270

// snapshotOf builds a version. The first version is 1.
func (s Size) snapshotOf(version uint64, changed int) (*snapshot.Snapshot, error) {
	contracts := make(map[string]*snapshot.ContractEntry)
	services := make(map[string]*snapshot.ServiceEntry)
	for _, svc := range s.batch().Services {
		services[svc.Name] = &snapshot.ServiceEntry{Revision: 1, Service: svc}
	}
	for i := range s.Contracts {
		e := &snapshot.ContractEntry{Revision: 1, Contract: s.contract(i, 1)}
		if i < changed {
			e = &snapshot.ContractEntry{Revision: version, Contract: s.contract(i, 2)}
		}
		contracts[organisation(i)] = e
	}
	return snapshot.Build(version, contracts, services)
}

// configuration holds the figures of one version of the configuration.
type configuration struct {
	full, delta, decode, apply, memory, kept, lookup Figure
	limiter, update, tick, histograms                Figure
}

// configFigures measures versions of the configuration and what a node keeps
// for each organisation.
func configFigures() ([]Figure, error) {
	of := "contracts"
	c := configuration{
		full:       Figure{Name: "whole version, encoded", Package: "state/snapshot", Unit: "B", Of: of},
		delta:      Figure{Name: "delta of one contract, encoded", Package: "state/snapshot", Unit: "B", Of: of},
		decode:     Figure{Name: "whole version, decoded and checked", Package: "state/snapshot", Unit: "µs", Of: of},
		apply:      Figure{Name: "delta of one contract, decoded, applied and checked", Package: "state/snapshot", Unit: "µs", Of: of},
		memory:     Figure{Name: "one version held", Package: "state/snapshot", Unit: "B heap", Of: of},
		kept:       Figure{Name: "an earlier version kept beside it", Package: "coordination/distribute", Unit: "B heap", Of: of},
		lookup:     Figure{Name: "look-up of organisation, route and service", Package: "state/snapshot", Unit: "µs", Of: of},
		limiter:    Figure{Name: "limits of all organisations and their classes", Package: "coordination/admit", Unit: "B heap", Of: of},
		update:     Figure{Name: "limits brought up to date with a version", Package: "coordination/admit", Unit: "µs", Of: of},
		tick:       Figure{Name: "limits, work of each 100 ms", Package: "coordination/admit", Unit: "µs", Of: of},
		histograms: Figure{Name: "latency histograms, 3 classes, 20 buckets in use", Package: "transport/entry", Unit: "B heap", Of: of},
	}
	for _, n := range contractSizes {
		if err := c.at(Size{Contracts: n, Routes: 4, Services: designServices}); err != nil {
			return nil, err
		}
	}
	return []Figure{
		c.full, c.delta, c.decode, c.apply, c.memory, c.kept, c.lookup,
		c.limiter, c.update, c.tick, c.histograms,
	}, nil
}

// add adds a point to a figure.
func (f *Figure) add(p Point) { f.Points = append(f.Points, p) }

func (c *configuration) at(s Size) error {
	n := s.Contracts
	base, err := s.snapshotOf(1, 0)
	if err != nil {
		return err
	}
	next, err := s.snapshotOf(2, 1)
	if err != nil {
		return err
	}
	full, err := base.Encode()
	if err != nil {
		return err
	}
	delta, err := snapshot.Diff(base, next).Encode()
	if err != nil {
		return err
	}
	c.full.add(exact(n, len(full)))
	c.delta.add(exact(n, len(delta)))
	c.decode.add(timed(n, func() { err = decodeWhole(full) }))
	if err := base.ValidateDocuments(); err != nil {
		return err // and marks them as valid, as on a node that holds them
	}
	c.apply.add(timed(n, func() { err = applyDelta(base, delta) }))
	c.memory.add(heap(n, func() any { s, _ := snapshot.Decode(full); return s }))
	c.kept.add(heap(n, func() any { s, _ := afterDelta(base, delta); return s }))
	host, path := organisation(n/2)+".example", "/v1/part-3/x"
	c.lookup.add(timed(n, func() { base.Lookup(host, "GET", path) }))
	c.limits(n, base, next)
	return err
}

// decodeWhole and applyDelta do what a node does with what it is sent.
func decodeWhole(raw []byte) error {
	s, err := snapshot.Decode(raw)
	if err != nil {
		return err
	}
	return s.ValidateDocuments()
}

func applyDelta(base *snapshot.Snapshot, raw []byte) error {
	next, err := afterDelta(base, raw)
	if err != nil {
		return err
	}
	return next.ValidateDocuments()
}

func afterDelta(base *snapshot.Snapshot, raw []byte) (*snapshot.Snapshot, error) {
	d, err := snapshot.DecodeDelta(raw)
	if err != nil {
		return nil, err
	}
	return base.Apply(d)
}

// limits measures what a node keeps for each organisation.
func (c *configuration) limits(n int, base, next *snapshot.Snapshot) {
	c.limiter.add(heap(n, func() any {
		l := admit.New(admit.DefaultConfig(), 1)
		l.Update(base)
		return l
	}))
	l := admit.New(admit.DefaultConfig(), 1)
	c.update.add(timed(n, func() {
		l.Update(next)
		base, next = next, base
	}))
	c.tick.add(timed(n, l.Tick))
	c.histograms.add(heap(n, func() any { return histograms(n) }))
}

// buckets is the number of buckets of each histogram that are in use.
const buckets = 20

// histograms fills the histograms that the entry proxy keeps for n organisations.
func histograms(n int) *metrics.Set {
	set := metrics.NewSet()
	for i := range n {
		for _, kind := range kinds {
			h := set.NewHistogram(fmt.Sprintf(`request_duration_seconds{organisation=%q,class=%q}`, organisation(i), kind))
			for b := range buckets {
				h.Update((time.Millisecond << (b / 2)).Seconds() * (1 + 0.4*float64(b%2)))
			}
		}
	}
	return set
}
