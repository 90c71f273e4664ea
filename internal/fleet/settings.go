package fleet

import (
	"github.com/jacinthgate/jacinthgate/state/model"
)

// settings returns the node's settings as the JSON object that it reads.
func (m *Member) settings() map[string]any {
	f := m.fleet
	s := map[string]any{
		"node":   m.Node,
		"zone":   m.Zone,
		"region": m.Region,
		"listen": map[string]any{
			"caller": m.addr(portCaller),
			"gate":   m.addr(portGate),
			"peer":   m.addr(portPeer),
			"local":  m.addr(portLocal),
		},
		"seeds":    f.seeds(),
		"platform": map[string]any{"table": f.platformURLOf(m.Zone), "objects": f.platformURLOf(m.Zone)},
		"logLevel": f.cfg.LogLevel,
	}
	if f.cfg.TLS {
		s["tls"], s["operator"] = m.tlsSettings(), m.OperatorAddr()
	} else {
		s["insecure"] = true
	}
	if f.cfg.Relay {
		s["advertise"] = map[string]any{"gate": m.addr(portRelay), "peer": m.addr(portRelay)}
	}
	if f.cfg.Older {
		s["older"] = map[string]any{"address": f.OlderAddr()}
	}
	if f.cfg.Edit != nil {
		f.cfg.Edit(m.Node, s)
	}
	return s
}

// seeds returns the control addresses of the first nodes of each zone.
func (f *Fleet) seeds() []string {
	var seeds []string
	count := make(map[model.Zone]int)
	for _, m := range f.Members {
		if count[m.Zone] < f.cfg.SeedsPerZone {
			count[m.Zone]++
			seeds = append(seeds, m.peerAddr())
		}
	}
	return seeds
}
