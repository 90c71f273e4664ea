package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// popularPath is what many callers ask for at the same time.
	popularPath = "/status/popular"
	// popularCallers is the number of callers beside each node that ask for it.
	popularCallers = 3
	// popularTime is for how long they do before the backend servers crash, and again between
	// the crash and the end of all processes.
	popularTime = time.Second
)

// crashTogether ends all backend servers of the service of popularPath while many callers ask
// for it, and then all nodes. Both return.
func (s *soak) crashTogether(ctx context.Context, step Step) {
	if !s.alone.TryLock() {
		return
	}
	defer s.alone.Unlock()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	s.askForPopular(asking)
	wait(ctx, popularTime)
	var crashed sync.WaitGroup
	for _, n := range s.site.nodes {
		if n.host.service == services[0] {
			crashed.Go(func() { s.crash(ctx, n, downTime, n.host.again) })
		}
	}
	crashed.Wait()
	wait(ctx, popularTime)
	stop()
	s.killAll(ctx, step.For)
}

// askForPopular lets callers beside each node ask for popularPath until ctx ends.
func (s *soak) askForPopular(ctx context.Context) {
	for _, n := range s.site.nodes {
		for range popularCallers {
			s.callers.wait.Go(func() {
				from := n.caller(false)
				defer from.close()
				for ctx.Err() == nil {
					s.callers.ask(from, n, popularPath)
					wait(ctx, callerPause)
				}
			})
		}
	}
}

// killAll kills all nodes at the same moment and starts them again.
func (s *soak) killAll(ctx context.Context, away time.Duration) {
	for _, n := range s.site.nodes {
		n.busy.Lock()
		defer n.busy.Unlock()
		defer s.open(FaultKill, n.number)()
		p, _ := n.running()
		p.Kill()
	}
	wait(ctx, away)
	for _, n := range s.site.nodes {
		s.startAgain(n)
	}
	wait(ctx, settled)
}

// checkPopular checks that every node serves popularPath within a time.
func (s *soak) checkPopular(ctx context.Context, bound time.Duration) {
	ask := func(n *node) Request { return s.callers.ask(n.caller(true), n, popularPath) }
	if n := awaitAnswers(ctx, s.site.nodes, bound, ask); n != nil && ctx.Err() == nil {
		s.add(CheckRecovery, "%s doesn't serve %s %v after the last disturbance", n.name, popularPath, bound)
	}
}
