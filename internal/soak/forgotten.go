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

// lateBeats is the number of late heartbeats.
const lateBeats = 2

// sayGoodbyeAndKill lets a node's backend server say goodbye while the store is away, and kills nodes,
// n among them, as it is acknowledged. Heartbeats that were sent before the goodbye arrive after the next
// start, and the store comes back. The backend server serves on until the end.
func (s *soak) sayGoodbyeAndKill(ctx context.Context, n *node, victims []*node, step Step) {
	// One at a time, as the store comes back at the end of each.
	if !s.alone.TryLock() {
		return
	}
	defer s.alone.Unlock()
	for _, v := range victims {
		v.busy.Lock()
		defer v.busy.Unlock()
	}
	old := n.host.depart()
	if old == nil {
		return
	}
	s.setStore(FaultStoreDown, 1)
	wait(ctx, settled/2)
	if old.Leave(n.addr(portBackend)) == nil {
		s.noteDrain(startOf(old.ID, old.Born), time.Now().Add(drainTime))
	}
	var over []func()
	for _, v := range victims {
		over = append(over, s.open(FaultKill, v.number))
		p, _ := v.running()
		p.Kill()
	}
	wait(ctx, awayFactor*step.For)
	for _, v := range victims {
		s.startAgain(v)
	}
	drawn := rand.New(rand.NewPCG(uint64(step.At), uint64(step.Node)))
	storeBack := time.AfterFunc(upTo(drawn, latestBeat), func() { s.setStore(FaultStoreDown, -1) })
	wait(ctx, upTo(drawn, latestBeat))
	for range lateBeats {
		_ = old.Beat(n.addr(portBackend), old.addr, false) // a node that is away misses it
		wait(ctx, heartbeatEvery)
	}
	wait(ctx, settled)
	for _, end := range over {
		end()
	}
	wait(ctx, drainTime+drainMargin)
	if storeBack.Stop() {
		s.setStore(FaultStoreDown, -1)
	}
	if err := n.host.replace(int(time.Now().UnixMilli() % 1000)); err != nil {
		s.add(CheckRecovery, "%s: %v", n.name, err)
	}
	_ = old.http.Close() // its requests have ended, or break the promise
}
