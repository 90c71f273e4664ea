package member

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// joining finds the fleet at the start, and parts of it that were lost.
type joining struct {
	seeds    []string // near ones first; see setSeeds
	near     int      // number of near seeds
	pos      int
	failures int
	next     time.Time // next attempt without a link
	rejoin   time.Time // next attempt to find a lost part
	// wait is the time between two such attempts.
	wait time.Duration
	// silent is since when each other zone has no link.
	silent map[model.Zone]time.Time
}

// failedRetry is how long after its death a failed member is still tried: two
// parts of a zone that found each other failed meet again by it.
const failedRetry = time.Hour

// setSeeds replaces the seeds. Near ones, which include those whose zone isn't known, come
// before far ones, those of other zones; both are in random order.
func (c *Core) setSeeds(near, far []string) {
	near = c.shuffled(near)
	far = slices.DeleteFunc(c.shuffled(far), func(a string) bool { return slices.Contains(near, a) })
	c.joining.seeds = slices.Concat(near, far)
	c.joining.near = len(near)
	c.joining.pos = 0
}

// shuffled returns addrs without duplicates and the own address, in random order.
func (c *Core) shuffled(addrs []string) []string {
	addrs = slices.Clone(addrs)
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return a == c.self.PeerAddr })
	c.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// dialOthers dials beyond the overlay: seeds while there is no link, and now
// and then an address that may lead to a part of the fleet without a link.
func (c *Core) dialOthers() {
	if c.left {
		return
	}
	if len(c.links) == 0 {
		c.dialSeed()
		return
	}
	c.joining.failures = 0
	c.reachSilentZones()
	c.rejoin()
}

// dialSeed tries the next seed with backoff.
func (c *Core) dialSeed() {
	j := &c.joining
	if len(j.seeds) == 0 || c.now.Before(j.next) || !c.takeConnect() {
		return
	}
	addr := j.seeds[j.pos%len(j.seeds)]
	j.pos++
	j.next = c.nextSeed(j.failures / len(j.seeds)) // each seed once a round
	j.failures++
	c.act(core.Connect{Addr: addr})
}

// nextSeed returns when the next seed is tried after so many rounds in vain. In
// the first round a seed that doesn't answer, since its host starts at this very
// moment or is gone, holds up the next one only shortly.
func (c *Core) nextSeed(rounds int) time.Time {
	if rounds == 0 {
		return c.now.Add(c.cfg.RejoinMin/2 + c.jitter(c.cfg.RejoinMin))
	}
	t := target{failures: rounds - 1}
	c.backOff(&t)
	return t.next
}

// rejoin tries, now and then, an address at which no live member is known: a
// seed, or a member of the own zone that failed lately. The members draw lots for
// the failed ones, so that together they try each about once in RejoinInterval,
// however large the zone is. A node that has just started tries more often: where
// all start at once each finds a few others first, and these parts have to meet.
func (c *Core) rejoin() {
	j := &c.joining
	if j.wait == 0 {
		j.wait = c.cfg.RejoinMin
		j.rejoin = c.now.Add(c.jitter(j.wait))
	}
	if c.now.Before(j.rejoin) {
		return
	}
	j.rejoin = c.now.Add(j.wait)
	j.wait = min(2*j.wait, c.cfg.RejoinInterval)
	seeds, failed := c.lostAddrs()
	if len(seeds) > 0 && c.takeConnect() {
		c.act(core.Connect{Addr: seeds[c.rng.IntN(len(seeds))]})
	}
	lots := max(1, len(failed), len(c.overlay.live))
	if lot := c.rng.IntN(lots); lot < len(failed) && c.takeConnect() {
		c.act(core.Connect{Addr: failed[lot]})
	}
}

// lostAddrs returns the seeds at which no live member is known, and the
// addresses of the own zone's members that failed lately. Seeds of other zones are left to
// the gateways: each link to another zone carries a copy of all records.
func (c *Core) lostAddrs() (seeds, failed []string) {
	known := make(map[string]bool)
	oldest := c.now.Add(-failedRetry).Unix()
	c.table.Each(func(r *endpoint.Record, _ model.NodeKey) bool {
		switch {
		case r.Live():
			known[r.PeerAddr] = true
		case r.Status == endpoint.StatusFailed && r.Zone == c.self.Zone && r.Died > oldest:
			failed = append(failed, r.PeerAddr)
		}
		return true
	})
	isKnown := func(addr string) bool { return known[addr] }
	seeds = c.joining.seeds
	if !c.overlay.gateway {
		seeds = seeds[:c.joining.near]
	}
	seeds = slices.DeleteFunc(slices.Clone(seeds), isKnown)
	failed = slices.DeleteFunc(failed, isKnown)
	slices.Sort(failed)
	return seeds, failed
}

// reachSilentZones lets a gateway try any member of a zone to which it has had
// no link for a while: all gateways that the table names may be gone.
func (c *Core) reachSilentZones() {
	j := &c.joining
	if !c.overlay.gateway {
		j.silent = nil
		return
	}
	if j.silent == nil {
		j.silent = make(map[model.Zone]time.Time)
	}
	for _, zone := range c.overlay.zones {
		due, waits := j.silent[zone]
		switch {
		case c.linkedTo(zone):
			delete(j.silent, zone)
		case !waits:
			j.silent[zone] = c.now.Add(c.cfg.ZoneSilentAfter)
		case !c.now.Before(due) && c.takeConnect():
			j.silent[zone] = c.now.Add(c.cfg.ZoneSilentAfter/2 + c.jitter(c.cfg.ZoneSilentAfter))
			c.dialMemberOf(zone)
		}
	}
}

// linkedTo reports whether there is a link to a zone.
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
	c.act(core.Connect{Addr: addrs[c.rng.IntN(len(addrs))]})
}
