package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// awayFactor is how many times as long as its step a node is away after a goodbye: up to
	// twice the time after which its peers hold it for failed.
	awayFactor = 2
	// latestBeat bounds how long after the node's start the late heartbeat arrives.
	latestBeat = 4 * time.Second
)

// upTo draws a duration below d.
func upTo(from *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(from.Int64N(int64(d)))
}

// sayGoodbyeAndKill lets a node's backend server say goodbye while the store is away, and kills the
// node as it acknowledges that. A heartbeat that was sent before the goodbye arrives after the next
// start, and the store comes back. The backend server serves on until the end.
func (s *soak) sayGoodbyeAndKill(ctx context.Context, n *node, step Step) {
	// One at a time: nobody remembers a goodbye if all nodes end while the store is away.
	if !s.forgotten.TryLock() {
		return
	}
	defer s.forgotten.Unlock()
	n.busy.Lock()
	defer n.busy.Unlock()
	old := n.host.depart()
	if old == nil {
		return
	}
	s.setStore(FaultStoreDown, 1)
	wait(ctx, settled/2)
	if old.Leave(n.addr(portBackend)) == nil {
		s.noteDrain(startOf(old.ID, old.Born), time.Now().Add(drainTime))
	}
	killed := s.open(FaultKill, step.Node)
	p, _ := n.running()
	p.Kill()
	wait(ctx, awayFactor*step.For)
	s.startAgain(n)
	drawn := rand.New(rand.NewPCG(uint64(step.At), uint64(step.Node)))
	storeBack := time.AfterFunc(upTo(drawn, latestBeat), func() { s.setStore(FaultStoreDown, -1) })
	wait(ctx, upTo(drawn, latestBeat))
	_ = old.Beat(n.addr(portBackend), old.addr, false) // a node that is away misses it
	wait(ctx, settled)
	killed()
	wait(ctx, drainTime+drainMargin)
	if storeBack.Stop() {
		s.setStore(FaultStoreDown, -1)
	}
	if err := n.host.replace(int(time.Now().UnixMilli() % 1000)); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
	_ = old.http.Close() // its requests have ended, or break the promise
}
