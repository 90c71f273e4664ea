package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

const (
	// unevenDue is when an answer of the uneven model is late.
	unevenDue = 3 * modelMean
	// unevenTurn is how long hosts are slow, and unevenSlow how many times.
	unevenTurn = 300 * time.Millisecond
	unevenSlow = 2.5
	unevenZone = model.Zone("1")
)

// uneven plays 8 backend servers of one zone, of which two at a time run on hosts that
// are slow, in turn, and whose speeds are those given, at 0.8 of their capacity. It
// returns the share of requests that are answered in time.
func uneven(seed uint64, entries int, speeds []float64, tells bool, change func(*Config)) float64 {
	const servers = 8
	w := &world{rand: rand.New(rand.NewPCG(seed, 9)), service: service(0.5), records: records(servers)}
	capacity := 0.0
	for i := range servers {
		w.records[i].Zone = unevenZone
		speed := speeds[i%len(speeds)]
		b := &backend{most: 4 * modelSlots, speed: speed, tells: tells}
		b.slow = func(now time.Duration) float64 {
			if int(now/unevenTurn)%(servers/2) == i/2 {
				return unevenSlow
			}
			return 1
		}
		w.backends = append(w.backends, b)
		capacity += speed * (0.75 + 0.25/unevenSlow) * modelSlots / modelMean.Seconds()
	}
	pickers := make([]policy, entries)
	for e := range pickers {
		pickers[e] = unevenPicker(w, uint64(e), change)
	}
	gap := float64(time.Second) / (0.8 * capacity)
	var next func()
	next = func() {
		if w.now > modelRun {
			return
		}
		w.request(-1, w.rand.ExpFloat64(), pickers[w.rand.IntN(entries)])
		w.after(time.Duration(w.rand.ExpFloat64()*gap), next)
	}
	next()
	w.play()
	inTime := 0
	for _, ms := range w.latencies {
		if ms <= unevenDue.Seconds()*1000 {
			inTime++
		}
	}
	return float64(inTime) / float64(w.offered)
}

func unevenPicker(w *world, seed uint64, change func(*Config)) policy {
	cfg := DefaultConfig()
	change(&cfg)
	p := New(cfg, unevenZone, "r1", seed)
	return func(now time.Time) (int, func(time.Time, Result)) {
		c, err := p.Pick(now, w.service, w.records, nil)
		if err != nil {
			panic(err)
		}
		return int(c.Record.Node[0] - 'a'), c.Done
	}
}

var _ []endpoint.Record

func TestUnevenHosts(t *testing.T) {
	ways := []struct {
		name   string
		tells  bool
		change func(*Config)
	}{
		{"not told", false, func(*Config) {}},
		{"load times slowness", true, func(c *Config) { c.Completion = false }},
		{"completion", true, func(c *Config) { c.Completion = true }},
	}
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		for _, entries := range []int{2, 20, 78} {
			for _, way := range ways {
				sum := 0.0
				for seed := range uint64(3) {
					sum += uneven(seed, entries, speeds, way.tells, way.change)
				}
				t.Logf("speeds %v, %2d entry nodes, %-20s in time %.4f", speeds, entries, way.name, sum/3)
			}
		}
	}
	must.True(t, true)
}
