package sidecar

import (
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/state/route"
)

// maxLoggedFaults bounds the log lines for the faults of one configuration.
const maxLoggedFaults = 16

// reportFaults logs the faults of a configuration and counts them in a gauge. The rest of the
// configuration is in force.
func (l *loop) reportFaults(t *route.Table) {
	faults := t.Faults()
	for _, err := range faults[:min(len(faults), maxLoggedFaults)] {
		_ = level.Error(l.log).Log("event", "config_fault", "version", t.Version(), "faults", len(faults), "err", err)
	}
	l.metrics.GetOrCreateGauge("jacinthgate_config_faults", nil).Set(float64(len(faults)))
}
