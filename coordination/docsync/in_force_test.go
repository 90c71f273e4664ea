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
		{"nothing", func(*simSite) {}},
		{"all connections to the store fall silent", (*simSite).silenceAllStoreConnections},
		{"all connections fall silent", func(s *simSite) {
			s.silenceAllStoreConnections()
			s.silenceAllLinks()
		}},
		{"all connections fall silent twice", func(s *simSite) {
			for _, at := range []time.Duration{0, s.between(100*time.Millisecond, 2*time.Second)} {
				s.after(at, s.silenceAllStoreConnections)
				s.after(at, s.silenceAllLinks)
			}
		}},
		{"all connections to the store fall silent and a reader is killed", func(s *simSite) {
			s.silenceAllStoreConnections()
			s.after(s.between(0, 2*time.Second), func() { s.zones[s.rng.IntN(3)][0].restart(time.Second) })
		}},
		{"all readers of a zone lose the store", func(s *simSite) {
			for _, h := range s.readersOf(s.rng.IntN(3)) {
				h.storeCutUntil = s.now.Add(5 * time.Second)
			}
		}},
		{"hosts lose the store", func(s *simSite) {
			for _, h := range s.some(2) {
				h.storeCutUntil = s.now.Add(5 * time.Second)
			}
		}},
		{"the store is silent towards a third of the hosts", func(s *simSite) {
			s.unstable = s.now.Add(5 * time.Second)
			for _, h := range s.some(4) {
				h.storeCutUntil = s.unstable
			}
		}},
		{"readers of a zone are cut off as a version is advertised", func(s *simSite) {
			readers := s.readersOf(s.rng.IntN(3))
			s.publish()
			s.after(s.between(5*time.Millisecond, 40*time.Millisecond), func() {
				for _, h := range readers {
					h.darken(5 * time.Second)
				}
			})
		}},
		{"hosts are cut off as a version is advertised", func(s *simSite) {
			gone := s.some(4)
			s.publish()
			s.after(s.between(5*time.Millisecond, 40*time.Millisecond), func() {
				for _, h := range gone {
					h.darken(5 * time.Second)
				}
			})
		}},
		{"hosts are cut off", func(s *simSite) {
			for _, h := range s.some(4) {
				h.darken(5 * time.Second)
			}
		}},
		{"all readers are killed", func(s *simSite) {
			for zone := range s.zones {
				for _, h := range s.readersOf(zone) {
					h.restart(time.Second)
				}
			}
		}},
		{"half of the hosts are killed", func(s *simSite) {
			for _, h := range s.some(7) {
				h.restart(2 * time.Second)
			}
		}},
		{"the history is lost after a second without news", func(s *simSite) {
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
		{"a third of the adverts are lost", func(s *simSite) { s.dropAdverts = 1. / 3 }},
		{"a zone is started while its store is cut off", func(s *simSite) {
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
			broken, worst := 0, time.Duration(0)
			var first []string
			for seed := range *siteSeeds {
				s := newSimSite(seed, 5, 4, 3)
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
