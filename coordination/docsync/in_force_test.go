package docsync

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// siteSeeds is the number of simulated sites for each kind of disturbance.
var siteSeeds = flag.Uint64("docsync.seeds", 40, "simulated sites for each kind of disturbance")

// disturbance is something that happens to a site while versions are published.
type disturbance struct {
	name string
	do   func(s *simSite)
	// zones are the numbers of hosts of the availability zones; nil for smallZones.
	zones []int
}

var (
	smallZones = []int{5, 4, 3}
	// largeZone has hosts that are late to take over from the readers of their zone.
	largeZone = []int{14, 2, 2}
)

func (d *disturbance) sizes() []int {
	if d.zones == nil {
		return smallZones
	}
	return d.zones
}

// readersOf returns the hosts of a zone that read the store.
func (s *simSite) readersOf(zone int) (all []*simHost) {
	for _, h := range s.zones[zone] {
		if h.core != nil && h.core.Reading() {
			all = append(all, h)
		}
	}
	return all
}

// some returns n hosts drawn at random.
func (s *simSite) some(n int) []*simHost {
	var all []*simHost
	for _, i := range s.rng.Perm(len(s.hosts))[:n] {
		all = append(all, s.hosts[i])
	}
	return all
}

// unsettleSome lets the links of n hosts, drawn at random, end again and again, after times that differ
// from site to site.
func (s *simSite) unsettleSome(n int) {
	u := unsteadiness{until: s.now.Add(12 * time.Second)}
	u.minUp = time.Duration(s.rng.Int64N(int64(200 * time.Millisecond)))
	u.maxUp = u.minUp + time.Millisecond + time.Duration(s.rng.Int64N(int64(3*time.Second)))
	if s.rng.IntN(2) == 0 { // too short for a document to be fetched
		u.minUp, u.maxUp = 0, time.Duration(3+s.rng.Int64N(27))*time.Millisecond
	}
	u.minClosed, u.maxClosed = 50*time.Millisecond, 300*time.Millisecond
	if s.rng.IntN(2) == 0 { // as after several failed attempts
		u.maxClosed = 3 * time.Second
	}
	for _, h := range s.some(n) {
		h.unsettle(u)
	}
}

func (s *simSite) silenceAllStoreConnections() {
	for _, h := range s.hosts {
		h.silenceStore()
	}
}

func (s *simSite) silenceAllLinks() {
	for _, h := range s.hosts {
		h.disturbed = s.now
		for _, l := range h.links {
			s.silence(l)
		}
	}
}

func disturbances() []disturbance {
	return []disturbance{
		{name: "nothing", do: func(*simSite) {}},
		{name: "all connections to the store fall silent", do: (*simSite).silenceAllStoreConnections},
		{name: "all connections fall silent", do: func(s *simSite) {
			s.silenceAllStoreConnections()
			s.silenceAllLinks()
		}},
		{name: "all connections fall silent twice", do: func(s *simSite) {
			for _, at := range []time.Duration{0, s.between(100*time.Millisecond, 2*time.Second)} {
				s.after(at, s.silenceAllStoreConnections)
				s.after(at, s.silenceAllLinks)
			}
		}},
		{name: "all connections to the store fall silent and a reader is killed", do: func(s *simSite) {
			s.silenceAllStoreConnections()
			s.after(s.between(0, 2*time.Second), func() { s.zones[s.rng.IntN(3)][0].restart(time.Second) })
		}},
		{name: "all readers of a zone lose the store", do: func(s *simSite) {
			for _, h := range s.readersOf(s.rng.IntN(3)) {
				h.storeCutUntil = s.now.Add(5 * time.Second)
			}
		}},
		{name: "hosts lose the store", do: func(s *simSite) {
			for _, h := range s.some(2) {
				h.storeCutUntil = s.now.Add(5 * time.Second)
			}
		}},
		{name: "the store is silent towards a third of the hosts", do: func(s *simSite) {
			s.unstable = s.now.Add(5 * time.Second)
			for _, h := range s.some(4) {
				h.storeCutUntil = s.unstable
			}
		}},
		{name: "readers of a zone are cut off as a version is advertised", do: func(s *simSite) {
			readers := s.readersOf(s.rng.IntN(3))
			s.publish()
			s.after(s.between(5*time.Millisecond, 40*time.Millisecond), func() {
				for _, h := range readers {
					h.darken(5 * time.Second)
				}
			})
		}},
		{name: "hosts are cut off as a version is advertised", do: func(s *simSite) {
			gone := s.some(4)
			s.publish()
			s.after(s.between(5*time.Millisecond, 40*time.Millisecond), func() {
				for _, h := range gone {
					h.darken(5 * time.Second)
				}
			})
		}},
		{name: "hosts are cut off", do: func(s *simSite) {
			for _, h := range s.some(4) {
				h.darken(5 * time.Second)
			}
		}},
		{name: "all readers are killed", do: func(s *simSite) {
			for zone := range s.zones {
				for _, h := range s.readersOf(zone) {
					h.restart(time.Second)
				}
			}
		}},
		{name: "half of the hosts are killed", do: func(s *simSite) {
			for _, h := range s.some(7) {
				h.restart(2 * time.Second)
			}
		}},
		{name: "the history is lost after a second without news", do: func(s *simSite) {
			s.unstable = s.now.Add(time.Second)
			for _, h := range s.hosts {
				h.waiting = false
			}
			s.after(time.Second, func() {
				s.compaction = uint64(len(s.acked))
				for _, h := range s.hosts {
					if !h.idle {
						h.endRead(h.read, StoreRead{Err: errRefused})
					}
				}
			})
		}},
		{name: "links of a host end again and again", do: func(s *simSite) { s.unsettleSome(1) }},
		{name: "links of four hosts end again and again", do: func(s *simSite) { s.unsettleSome(4) }},
		{name: "links of all hosts end again and again", do: func(s *simSite) { s.unsettleSome(len(s.hosts)) }},
		{name: "links of a host of a large zone end again and again", do: func(s *simSite) { s.unsettleSome(1) }, zones: largeZone},
		{name: "links of four hosts of a large zone end again and again", do: func(s *simSite) { s.unsettleSome(4) }, zones: largeZone},
		{name: "links of all hosts of a large zone end again and again", do: func(s *simSite) { s.unsettleSome(len(s.hosts)) }, zones: largeZone},
		{name: "links of a zone end again and again while its store is cut off", do: func(s *simSite) {
			zone := s.zones[s.rng.IntN(3)]
			for _, h := range zone {
				h.storeCutUntil = s.now.Add(5 * time.Second)
			}
			s.unsettleSome(4)
		}},
		{name: "a third of the adverts are lost", do: func(s *simSite) { s.dropAdverts = 1. / 3 }},
		{name: "a zone is started while its store is cut off", do: func(s *simSite) {
			for _, h := range s.zones[s.rng.IntN(3)] {
				h.restart(time.Second)
				h.storeCutUntil = s.now.Add(3 * time.Second)
			}
		}},
	}
}

// Guards against a version that is not in force at a host in touch 2 s after its acknowledgement.
func TestVersionsAreInForceInTimeUnderDisturbances(t *testing.T) {
	for _, d := range disturbances() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			broken, worst := 0, time.Duration(0)
			var first []string
			for seed := range *siteSeeds {
				s := newSimSite(seed, d.sizes()...)
				s.run(6 * time.Second)
				s.publishSoon(6, 5*time.Second)
				s.after(s.between(500*time.Millisecond, 3*time.Second), func() { d.do(s) })
				s.run(14 * time.Second)
				if len(s.late) > 0 {
					broken++
					worst = max(worst, s.worst)
					if first == nil {
						first = append(s.late, fmt.Sprint("seed ", seed))
					}
				}
			}
			must.Eq(t, 0, broken, must.Sprintf("of %d seeds; worst %v; first: %v", *siteSeeds, worst, first))
		})
	}
}
