package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Load of the traffic measurement: one node of the design's size, with one of
// 200 organisations.
const (
	nodeRate       = 1.4  // requests per second of one organisation at one node
	serviceSeconds = 0.05 // of a request, in seconds
	limitFactor    = 3    // limit of an organisation divided by its demand
	treeFanOut     = 8    // children of a node
)

// zoneTraffic is one zone whose nodes all serve the same organisations, with
// random demand.
type zoneTraffic struct {
	fleet
	random        *rand.Rand
	estimators    []*Estimator
	organisations []string
	granted       []map[string]float64
	bytes         []int // sent and received by each node
	offered       float64
	refused       float64
}

func newZoneTraffic(nodes, organisations int) *zoneTraffic {
	z := &zoneTraffic{random: rand.New(rand.NewPCG(1, 2)), bytes: make([]int, nodes)}
	z.fleet = fleet{now: time.Unix(1000, 0), cfg: DefaultConfig(), index: make(map[model.NodeID]*member)}
	z.cfg.ZoneMembers = nodes
	contracts := make(map[string]*snapshot.ContractEntry)
	for i := range organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		rate := nodeRate * limitFactor * float64(nodes)
		c := &model.Contract{Organisation: name, Rate: model.Rate{PerSecond: rate, Burst: 1}, Concurrency: nodes}
		contracts[name] = &snapshot.ContractEntry{Revision: 1, Contract: c}
		z.organisations = append(z.organisations, name)
	}
	s, _ := snapshot.Build(1, contracts, nil)
	for i := range nodes {
		m := &member{id: model.NodeID(fmt.Sprintf("csepel-host-%04d", i))}
		m.holder, m.allocator = NewHolder(z.cfg, m.id, "csepel"), NewAllocator(z.cfg, m.id, "csepel")
		z.members = append(z.members, m)
		z.index[m.id] = m
		z.estimators = append(z.estimators, NewEstimator())
		z.granted = append(z.granted, make(map[string]float64))
		up := z.members[max(i-1, 0)/treeFanOut]
		z.apply(m, m.holder.Step(z.now, Route{Upstream: up.id, Zones: 1, Members: nodes}))
		m.allocator.Step(z.now, Limits{Snapshot: s})
	}
	z.members[0].allocator.Step(z.now, Lead{Term: 1, Zones: 1, Members: nodes})
	return z
}

// run advances virtual time by d, and counts the bytes sent.
func (z *zoneTraffic) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(step)
		z.countBytes()
		z.deliver()
		intervalEnds := z.now.Truncate(time.Second).Equal(z.now)
		for i, m := range z.members {
			if intervalEnds {
				z.measure(i, m)
			}
			z.applyAndRecord(i, m.holder.Step(z.now, core.Tick{}))
			z.applyAndRecord(i, m.allocator.Step(z.now, core.Tick{}))
		}
	}
}

func (z *zoneTraffic) measure(i int, m *member) {
	var items []message.DemandItem
	for _, name := range z.organisations {
		n := poisson(z.random, nodeRate)
		z.offered += n
		z.refused += max(0, n-z.granted[i][name])
		if n > 0 {
			items = append(items, message.DemandItem{Limit: name, PerSecond: n, InFlight: n * serviceSeconds})
		}
	}
	z.applyAndRecord(i, m.holder.Step(z.now, Measured{Items: z.estimators[i].Estimate(items)}))
}

func (z *zoneTraffic) applyAndRecord(i int, actions []core.Action) {
	for _, a := range actions {
		if s, is := a.(SetShare); is {
			z.granted[i][s.Limit] = s.Amount.PerSecond
		}
	}
	z.apply(z.members[i], actions)
}

// deliver delivers the messages in transit as fleet does, and records the
// grants.
func (z *zoneTraffic) deliver() {
	all := z.inTransit
	z.inTransit = nil
	for _, x := range all {
		to, e := z.index[x.to], core.Received{From: x.from, Message: x.message}
		_, isDemand := x.message.(*message.Demand)
		n, _ := strconv.Atoi(string(x.to[len(x.to)-4:]))
		if x.from == x.to && isDemand {
			z.applyAndRecord(n, to.allocator.Step(z.now, e))
			continue
		}
		z.applyAndRecord(n, to.holder.Step(z.now, e))
	}
}

// countBytes adds the encoded size of the messages in transit between two
// nodes.
func (z *zoneTraffic) countBytes() {
	for _, x := range z.inTransit {
		if x.from == x.to {
			continue
		}
		b, _ := message.Encode(x.message)
		for _, id := range []model.NodeID{x.from, x.to} {
			n, _ := strconv.Atoi(string(id[len(id)-4:]))
			z.bytes[n] += len(b)
		}
	}
}

// rates returns the mean and the highest number of bytes per second sent and
// received by a node, and the fraction of the offered requests that exceed
// grants.
func (z *zoneTraffic) rates(seconds float64) (mean, highest, refused float64) {
	for _, b := range z.bytes {
		mean += float64(b) / seconds / float64(len(z.bytes))
		highest = max(highest, float64(b)/seconds)
	}
	return mean, highest, z.refused / z.offered
}

func measureZone(nodes, organisations int) (mean, highest, refused float64) {
	const warmUp, seconds = 60 * time.Second, 40
	z := newZoneTraffic(nodes, organisations)
	z.run(warmUp)
	clear(z.bytes)
	z.offered, z.refused = 0, 0
	z.run(seconds * time.Second)
	return z.rates(seconds)
}

func poisson(r *rand.Rand, mean float64) float64 {
	n, p := 0.0, r.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= r.Float64()
	}
	return n
}

// BenchmarkControlBytes measures the traffic of a zone in virtual time; run it
// with -benchtime 1x.
func BenchmarkControlBytes(b *testing.B) {
	for _, nodes := range []int{20, 100, 614} {
		for _, organisations := range []int{10, 50, 200} {
			b.Run(fmt.Sprintf("nodes=%d/limits=%d", nodes, organisations), func(b *testing.B) {
				mean, highest, refused := measureZone(nodes, organisations)
				b.ReportMetric(mean, "mean-B/s")
				b.ReportMetric(highest, "busiest-B/s")
				b.ReportMetric(100*refused, "%beyond-grants")
			})
		}
	}
}

// TestControlBytesOfALimit bounds the bytes per second that one more limit in
// use costs on each link.
func TestControlBytesOfALimit(t *testing.T) {
	_, few, _ := measureZone(20, 5)
	_, many, refused := measureZone(20, 15)
	each := (many - few) / 10 / (treeFanOut + 1)
	t.Logf("%.1f B/s for each limit in use and link, %.1f%% beyond grants", each, 100*refused)
	must.LessEq(t, 2, each)
}

func TestRoundingIsCompactAndConservative(t *testing.T) {
	for _, x := range []float64{0, 0.0123456, 0.7, 1, 3.14159, 1234.567, 60000.9} {
		down, up := Amount{PerSecond: x}.roundDown(), Amount{PerSecond: x}.roundUp()
		must.Between(t, x*0.999, down.PerSecond, x)
		must.Between(t, x, up.PerSecond, x*1.001)
		b, err := message.Encode(&message.Shares{Items: []message.ShareItem{{PerSecond: down.PerSecond}}})
		must.NoError(t, err)
		must.LessEq(t, 17, len(b))
	}
}
