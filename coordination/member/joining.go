package member

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// joining is the state of discovery: of the fleet after a start, and of parts of it to
// which the links were lost.
type joining struct {
	seeds      []string  // near ones (own or unknown zone) first; see setSeeds
	nearCount  int       // number of near seeds
	nextSeed   int       // index into seeds, modulo their number
	failures   int       // seeds dialled since there was last a link
	nextSeedAt time.Time // when the next seed is dialled while there is no link
	rejoinAt   time.Time // when the next attempt to find a lost part of the fleet is made
	// rejoinWait is the delay between two attempts to find a lost part.
	rejoinWait time.Duration
	// zoneDialAt holds, for each other zone without a link, when a gateway dials a random
	// member of it.
	zoneDialAt map[model.Zone]time.Time
}

// failedRetryWindow is how long after its death a failed member is still dialled, so that
// two parts of a zone that marked each other as failed can reconnect.
const failedRetryWindow = time.Hour

// setSeeds replaces the seeds. Near ones, those of the own or an unknown zone, come before
// far ones, those of other zones; each group is in random order.
func (c *Core) setSeeds(near, far []string) {
	near = c.shuffled(near)
	far = slices.DeleteFunc(c.shuffled(far), func(a string) bool { return slices.Contains(near, a) })
	c.joining.seeds = slices.Concat(near, far)
	c.joining.nearCount = len(near)
	c.joining.nextSeed = 0
}

// shuffled returns addrs in random order, without duplicates and the own address.
func (c *Core) shuffled(addrs []string) []string {
	addrs = slices.Clone(addrs)
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == c.self.PeerAddr })
	c.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// dialForDiscovery dials addresses outside the overlay: seeds while there is no link, and
// otherwise, periodically, addresses that may lead to a part of the fleet without a link.
func (c *Core) dialForDiscovery() {
	if c.left {
		return
	}
	if len(c.links) == 0 {
		c.dialSeed()
		return
	}
	c.joining.failures = 0
	c.dialUnlinkedZones()
	c.rejoin()
}

// dialSeed dials the next seed, with backoff between rounds.
func (c *Core) dialSeed() {
	j := &c.joining
	if len(j.seeds) == 0 || c.now.Before(j.nextSeedAt) || !c.takeDialToken() {
		return
	}
	addr := j.seeds[j.nextSeed%len(j.seeds)]
	j.nextSeed++
	j.nextSeedAt = c.seedRetryTime(j.failures / len(j.seeds)) // a round dials each seed once
	j.failures++
	c.emit(core.Connect{Addr: addr})
}

// seedRetryTime returns when to dial the next seed after the given number of complete
// rounds. In the first round the delay is short, so that a seed that doesn't respond,
// because its host is just starting or is gone, barely delays the next one.
func (c *Core) seedRetryTime(rounds int) time.Time {
	if rounds == 0 {
		return c.now.Add(c.cfg.RejoinMin/2 + c.jitter(c.cfg.RejoinMin))
	}
	t := target{failures: rounds - 1}
	c.backOff(&t)
	return t.notBefore
}

// rejoin periodically dials an address at which the table has no live member: a seed, or a
// recently failed member of the own zone. Each member choices at random whether it dials a
// failed one, so that together the members dial each of these about once per
// RejoinInterval, regardless of the zone's size. A recently started node dials more often:
// when all nodes start at once, each finds only a few others at first, and these groups
// have to merge.
func (c *Core) rejoin() {
	j := &c.joining
	if j.rejoinWait == 0 {
		j.rejoinWait = c.cfg.RejoinMin
		j.rejoinAt = c.now.Add(c.jitter(j.rejoinWait))
	}
	if c.now.Before(j.rejoinAt) {
		return
	}
	j.rejoinAt = c.now.Add(j.rejoinWait)
	j.rejoinWait = min(2*j.rejoinWait, c.cfg.RejoinInterval)
	seeds, failed := c.rejoinAddrs()
	if len(seeds) > 0 && c.takeDialToken() {
		c.emit(core.Connect{Addr: seeds[c.rng.IntN(len(seeds))]})
	}
	choices := max(1, len(failed), len(c.overlay.live))
	if draw := c.rng.IntN(choices); draw < len(failed) && c.takeDialToken() {
		c.emit(core.Connect{Addr: failed[draw]})
	}
}

// rejoinAddrs returns the seeds at which the table has no live member, and the addresses of
// recently failed members of the own zone. Only gateways get seeds of other zones, because
// each link to another zone transfers a copy of all records.
func (c *Core) rejoinAddrs() (seeds, failed []string) {
	live := make(map[string]bool)
	oldest := c.now.Add(-failedRetryWindow).Unix()
	c.table.Each(func(r *endpoint.Record, _ model.NodeKey) bool {
		switch {
		case r.Live():
			live[r.PeerAddr] = true
		case r.Status == endpoint.StatusFailed && r.Zone == c.self.Zone && r.Died > oldest:
			failed = append(failed, r.PeerAddr)
		}
		return true
	})
	isLive := func(addr string) bool { return live[addr] }
	seeds = c.joining.seeds
	if !c.overlay.gateway {
		seeds = seeds[:c.joining.nearCount]
	}
	seeds = slices.DeleteFunc(slices.Clone(seeds), isLive)
	failed = slices.DeleteFunc(failed, isLive)
	slices.Sort(failed)
	return seeds, failed
}

// dialUnlinkedZones lets a gateway dial any member of a zone to which it has had no link
// for UnlinkedZoneDelay: all gateways of that zone according to the table may be gone.
func (c *Core) dialUnlinkedZones() {
	j := &c.joining
	if !c.overlay.gateway {
		j.zoneDialAt = nil
		return
	}
	if j.zoneDialAt == nil {
		j.zoneDialAt = make(map[model.Zone]time.Time)
	}
	for _, zone := range c.overlay.otherZones {
		due, scheduled := j.zoneDialAt[zone]
		switch {
		case c.linkedTo(zone):
			delete(j.zoneDialAt, zone)
		case !scheduled:
			j.zoneDialAt[zone] = c.now.Add(c.cfg.UnlinkedZoneDelay)
		case !c.now.Before(due) && c.takeDialToken():
			j.zoneDialAt[zone] = c.now.Add(c.cfg.UnlinkedZoneDelay/2 + c.jitter(c.cfg.UnlinkedZoneDelay))
			c.dialMemberOf(zone)
		}
	}
}

// linkedTo reports whether there is a link to a member of the zone.
func (c *Core) linkedTo(zone model.Zone) bool {
	return slices.ContainsFunc(c.links, func(l *link) bool { return l.zone == zone && !l.closing })
}

// dialMemberOf dials a random live member of a zone.
func (c *Core) dialMemberOf(zone model.Zone) {
	var addrs []string
	c.table.EachLive(zone, func(r *endpoint.Record, _ model.NodeKey) bool {
		addrs = append(addrs, r.PeerAddr)
		return true
	})
	if len(addrs) == 0 {
		return
	}
	slices.Sort(addrs)
	c.emit(core.Connect{Addr: addrs[c.rng.IntN(len(addrs))]})
}
