package node

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/internal/signals"
)

// leaveTime is how long the record that the node has left may take to reach the
// neighbours.
const leaveTime = 300 * time.Millisecond

// ForcedError reports that a second signal ended the node at once.
type ForcedError struct {
	// Signal is the signal.
	Signal os.Signal
}

// Error implements error.
func (e *ForcedError) Error() string { return "ended at once by a second " + e.Signal.String() }

// addSignals adds the part that waits for a signal and then shuts down.
func (n *Node) addSignals(g *run.Group, caught *signals.Signals) {
	stop := make(chan struct{})
	execute := func() error {
		select {
		case <-stop:
			return nil
		case s := <-caught.Stop():
			_ = n.log.Log("event", "shutdown_started", "signal", s)
		}
		return n.shutdownUnless(caught.Stop())
	}
	g.Add(execute, func(error) { close(stop) })
}

// shutdownUnless shuts down gracefully, or returns at once on another signal.
func (n *Node) shutdownUnless(again <-chan os.Signal) error {
	done := make(chan error, 1)
	go func() { done <- n.shutdown() }()
	select {
	case err := <-done:
		_ = n.log.Log("event", "shutdown_finished", "err", err)
		return nil
	case s := <-again:
		return &ForcedError{Signal: s}
	}
}

// shutdown withdraws the node's endpoint first, goes on serving while the fleet
// and the callers take notice, and then lets the requests in flight finish. It returns an error
// when the deadline cut one.
func (n *Node) shutdown() error {
	a := n.registry.Current()
	n.loop.queue.Post(n.ctx, member.Announce{Unready: true, Draining: a.Draining, Service: a.Service})
	n.proxy.Leave()
	n.gateSrv.keep.Leave()
	time.Sleep(n.set.Shutdown.Notice.Std())
	ctx, cancel := context.WithTimeout(n.ctx, n.set.Shutdown.DrainTimeout.Std())
	defer cancel()
	err := n.drainServers(ctx)
	n.loop.queue.Post(n.ctx, member.Leave{})
	time.Sleep(leaveTime)
	keeperCtx, cancelKeeper := context.WithTimeout(n.ctx, n.set.Platform.Timeout.Std())
	defer cancelKeeper()
	return errors.Join(err, n.keeper.Close(keeperCtx))
}

// drainServers stops accepting on both request paths and waits for what is in
// flight. Both drain at the same time: a request in flight here may need the
// other's.
func (n *Node) drainServers(ctx context.Context) error {
	var wg sync.WaitGroup
	var entryErr, gateErr error
	wg.Go(func() {
		_ = n.callerRaw.Drain(ctx) // Shutdown closes what is still open
		entryErr = n.proxy.Shutdown(ctx)
	})
	wg.Go(func() { gateErr = n.gateSrv.shutdown(ctx) })
	wg.Wait()
	return errors.Join(entryErr, gateErr)
}
