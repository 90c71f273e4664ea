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

// Load of the traffic measurement: what one node of the design's size serves
// of one of 200 organisations.
const (
	perNode     = 1.4  // requests per second of one organisation at one node
	holdSeconds = 0.05 // of a request
	spare       = 3    // limit divided by what is used of it
	neighbours  = 8    // below a node
)

// zoneTraffic is one zone whose nodes all serve the same organisations at random.
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
		rate := perNode * spare * float64(nodes)
		c := &model.Contract{Organisation: name, Rate: model.Rate{PerSecond: rate, Burst: 1}, Concurrency: nodes}
		contracts[name] = &snapshot.ContractEntry{Revision: 1, Contract: c}
		z.organisations = append(z.organisations, name)
	}
	s, _ := snapshot.Build(1, contracts, nil)
	for i := range nodes {
		m := &member{id: model.NodeID(fmt.Sprintf("csepel-host-%04d", i))}
		m.holder, m.alloc = NewHolder(z.cfg, m.id, "csepel"), NewAllocator(z.cfg, m.id, "csepel")
		z.members = append(z.members, m)
		z.index[m.id] = m
		z.estimators = append(z.estimators, NewEstimator())
		z.granted = append(z.granted, make(map[string]float64))
		up := z.members[max(i-1, 0)/neighbours]
		z.do(m, m.holder.Step(z.now, Route{Upstream: up.id, Zones: 1, Members: nodes}))
		m.alloc.Step(z.now, Limits{Snapshot: s})
	}
	z.members[0].alloc.Step(z.now, Lead{Term: 1, Zones: 1, Members: nodes})
	return z
}

// run drives the zone for whole intervals of measurement.
func (z *zoneTraffic) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(step)
		z.count()
		z.deliver()
		second := z.now.Truncate(time.Second).Equal(z.now)
		for i, m := range z.members {
			if second {
				z.measure(i, m)
			}
			z.act(i, m.holder.Step(z.now, core.Tick{}))
			z.act(i, m.alloc.Step(z.now, core.Tick{}))
		}
	}
}

func (z *zoneTraffic) measure(i int, m *member) {
	var items []message.DemandItem
	for _, name := range z.organisations {
		n := poisson(z.random, perNode)
		z.offered += n
		z.refused += max(0, n-z.granted[i][name])
		if n > 0 {
			items = append(items, message.DemandItem{Limit: name, PerSecond: n, InFlight: n * holdSeconds})
		}
	}
	z.act(i, m.holder.Step(z.now, Measured{Items: z.estimators[i].Estimate(items)}))
}

func (z *zoneTraffic) act(i int, actions []core.Action) {
	for _, a := range actions {
		if s, is := a.(SetShare); is {
			z.granted[i][s.Limit] = s.Amount.PerSecond
		}
	}
	z.do(z.members[i], actions)
}

// deliver passes mail on as fleet does, and notes the grants.
func (z *zoneTraffic) deliver() {
	all := z.mail
	z.mail = nil
	for _, x := range all {
		to, e := z.index[x.to], core.Received{From: x.from, Message: x.message}
		_, isDemand := x.message.(*message.Demand)
		n, _ := strconv.Atoi(string(x.to[len(x.to)-4:]))
		if x.from == x.to && isDemand {
			z.act(n, to.alloc.Step(z.now, e))
			continue
		}
		z.act(n, to.holder.Step(z.now, e))
	}
}

// count adds the encoded size of what is under way between two nodes.
func (z *zoneTraffic) count() {
	for _, x := range z.mail {
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

// rates returns the bytes per second sent and received by a node on average
// and by the busiest one, and the part of the offered requests beyond grants.
func (z *zoneTraffic) rates(seconds float64) (mean, busiest, refused float64) {
	for _, b := range z.bytes {
		mean += float64(b) / seconds / float64(len(z.bytes))
		busiest = max(busiest, float64(b)/seconds)
	}
	return mean, busiest, z.refused / z.offered
}

func measureZone(nodes, organisations int) (mean, busiest, refused float64) {
	const settle, seconds = 60 * time.Second, 40
	z := newZoneTraffic(nodes, organisations)
	z.run(settle)
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

// BenchmarkControlBytes measures in virtual time; run it with -benchtime 1x.
func BenchmarkControlBytes(b *testing.B) {
	for _, nodes := range []int{20, 100, 614} {
		for _, organisations := range []int{10, 50, 200} {
			b.Run(fmt.Sprintf("nodes=%d/limits=%d", nodes, organisations), func(b *testing.B) {
				mean, busiest, refused := measureZone(nodes, organisations)
				b.ReportMetric(mean, "mean-B/s")
				b.ReportMetric(busiest, "busiest-B/s")
				b.ReportMetric(100*refused, "%beyond-grants")
			})
		}
	}
}

// A limit in use costs few bytes on each link.
func TestControlBytesOfALimit(t *testing.T) {
	_, few, _ := measureZone(20, 5)
	_, many, refused := measureZone(20, 15)
	each := (many - few) / 10 / (neighbours + 1)
	t.Logf("%.1f B/s for each limit in use and link, %.1f%% beyond grants", each, 100*refused)
	must.LessEq(t, 2, each)
}

func TestRoundingIsShortAndOnTheSafeSide(t *testing.T) {
	for _, x := range []float64{0, 0.0123456, 0.7, 1, 3.14159, 1234.567, 60000.9} {
		down, up := Amount{PerSecond: x}.down(), Amount{PerSecond: x}.up()
		must.Between(t, x*0.999, down.PerSecond, x)
		must.Between(t, x, up.PerSecond, x*1.001)
		b, err := message.Encode(&message.Shares{Items: []message.ShareItem{{PerSecond: down.PerSecond}}})
		must.NoError(t, err)
		must.LessEq(t, 17, len(b))
	}
}
