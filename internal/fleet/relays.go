package fleet

import (
	"fmt"
	"net/netip"

	"github.com/jacinthgate/jacinthgate/internal/fleet/relay"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// SidePlatform is the platform's side of a cut.
const SidePlatform relay.Side = "platform"

// SideOf is a zone's side of a cut.
func SideOf(zone model.Zone) relay.Side { return relay.Side(zone) }

// startRelays starts a relay in front of each node and, for each zone, one in
// front of the platform.
func (f *Fleet) startRelays() error {
	if !f.cfg.Relay {
		return nil
	}
	zones := make(map[model.Zone]bool)
	for _, m := range f.Members {
		if err := f.relayMember(m); err != nil {
			return err
		}
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		if err := f.relayPlatform(m.Zone); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) relayMember(m *Member) error {
	side := SideOf(m.Zone)
	udp, err := relay.ListenUDP(f.Cuts, m.addr(portRelay), m.addr(portPeer), side, f.sideOf)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, udp)
	tcp, err := relay.ListenTCP(f.Cuts, m.addr(portRelay), m.addr(portGate), side, f.sideOf)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, tcp)
	return nil
}

func (f *Fleet) relayPlatform(zone model.Zone) error {
	from := func(netip.AddrPort) relay.Side { return SideOf(zone) }
	r, err := relay.ListenTCP(f.Cuts, f.platformAddrOf(zone), f.platformAddr(), SidePlatform, from)
	if err != nil {
		return err
	}
	f.relays = append(f.relays, r)
	return nil
}

// sideOf tells the zone of a host by its address.
func (f *Fleet) sideOf(a netip.AddrPort) relay.Side {
	ip := a.Addr().Unmap().String()
	for _, m := range f.Members {
		if m.ip == ip {
			return SideOf(m.Zone)
		}
	}
	return ""
}

// platformAddrOf is where a zone's nodes reach the platform.
func (f *Fleet) platformAddrOf(zone model.Zone) string {
	if !f.cfg.Relay {
		return f.platformAddr()
	}
	for _, m := range f.Members {
		if m.Zone == zone {
			b := netip.MustParseAddr(m.ip).As4()
			return fmt.Sprintf("127.%d.%d.0:%d", b[1], b[2], portPlatform)
		}
	}
	return f.platformAddr()
}

func (f *Fleet) platformURLOf(zone model.Zone) string { return "http://" + f.platformAddrOf(zone) }

// CutZone severs a zone from all other zones, and from the platform too where
// platform is set.
func (f *Fleet) CutZone(zone model.Zone, platform bool) { f.setZone(zone, platform, f.Cuts.Cut) }

// HealZone undoes CutZone.
func (f *Fleet) HealZone(zone model.Zone) { f.setZone(zone, true, f.Cuts.Heal) }

func (f *Fleet) setZone(zone model.Zone, platform bool, set func(a, b relay.Side)) {
	for _, m := range f.Members {
		if m.Zone != zone {
			set(SideOf(zone), SideOf(m.Zone))
		}
	}
	if platform {
		set(SideOf(zone), SidePlatform)
	}
}

// CutPlatform severs every zone from the platform.
func (f *Fleet) CutPlatform() { f.setPlatform(f.Cuts.Cut) }

// HealPlatform undoes CutPlatform.
func (f *Fleet) HealPlatform() { f.setPlatform(f.Cuts.Heal) }

func (f *Fleet) setPlatform(set func(a, b relay.Side)) {
	for _, m := range f.Members {
		set(SideOf(m.Zone), SidePlatform)
	}
}

// peerAddr is where other nodes reach the member for control traffic.
func (m *Member) peerAddr() string {
	if m.fleet.cfg.Relay {
		return m.addr(portRelay)
	}
	return m.addr(portPeer)
}
