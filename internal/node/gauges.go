package node

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/internal/eventqueue"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// gaugeTimeout bounds the wait for the event loop when metrics are read.
const gaugeTimeout = time.Second

// gauges are the metrics that are read from the event loop.
type gauges struct {
	held, head, nodes, behind, cutOff, draining *metrics.Gauge
}

func newGauges(set *metrics.Set, pub *published) *gauges {
	set.NewGauge("jacinthgate_ready", func() float64 { return truth(pub.Ready()) })
	set.NewGauge("jacinthgate_reader", func() float64 { return truth(pub.reader.Load()) })
	return &gauges{
		held:     set.NewGauge("jacinthgate_version_held", nil),
		head:     set.NewGauge("jacinthgate_version_head", nil),
		nodes:    set.NewGauge("jacinthgate_nodes_live", nil),
		behind:   set.NewGauge("jacinthgate_nodes_behind", nil),
		cutOff:   set.NewGauge("jacinthgate_zones_cut_off", nil),
		draining: set.NewGauge("jacinthgate_endpoints_draining", nil),
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// refresh reads the gauges from the event loop. When the loop is busy the last
// values stay.
func (g *gauges) refresh(ctx context.Context, l *loop) {
	ctx, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	s, ran := eventqueue.Ask(ctx, l.queue, func() *operator.Status { return l.summary(time.Now()) })
	if !ran {
		return
	}
	g.set(s)
}

func (g *gauges) set(s *operator.Status) {
	var live, behind, cutOff, draining float64
	for _, z := range s.Zones {
		live += float64(z.Live)
		switch {
		case z.CutOff:
			cutOff++
		case z.Lag > 0:
			behind += float64(z.Live)
		default:
			behind += float64(z.Live) - float64(z.Holding)
		}
	}
	for _, e := range s.Endpoints {
		draining += float64(e.Draining)
	}
	g.held.Set(float64(s.Held.Version))
	g.head.Set(float64(s.Head.Version))
	g.nodes.Set(live)
	g.behind.Set(behind)
	g.cutOff.Set(cutOff)
	g.draining.Set(draining)
}
