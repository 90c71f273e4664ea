package soak

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// signalEvery is the time between two signals of a series.
	signalEvery = 70 * time.Millisecond
	// signalCount is the number of signals of a series before the node is asked to stop, and
	// again in its start.
	signalCount = 6
	// openTime bounds the time until a process takes connections.
	openTime = 5 * time.Second
)

// signals sends a node a series of signals, some of which ask it to stop, starts it again,
// and sends more as soon as callers can connect. n.busy is held.
func (s *soak) signals(ctx context.Context, n *node) {
	for range signalCount {
		s.reload(n)
		wait(ctx, signalEvery)
	}
	p, _ := n.running()
	stop := make(chan struct{})
	go func() {
		s.terminate(n, graceTime+stopMargin)
		close(stop)
	}()
	s.signalUntil(n, stop)
	if p.Failed() {
		s.add(CheckStop, "%s was ended by a signal", n.name)
	}
	s.startAgain(n)
	s.awaitOpen(ctx, n)
	for range signalCount {
		s.signalNode(n, syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	wait(ctx, settled)
	if p, _ := n.running(); !p.Alive() {
		s.add(CheckStop, "%s has ended in its start", n.name)
	}
}

// signalUntil sends a node SIGHUP and SIGTERM in turn until it has stopped.
func (s *soak) signalUntil(n *node, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(signalEvery):
		}
		sig := syscall.SIGHUP
		if i%2 == 1 {
			sig = syscall.SIGTERM
		}
		s.signalNode(n, sig)
	}
}

// awaitOpen waits until a node's process takes callers' connections.
func (s *soak) awaitOpen(ctx context.Context, n *node) {
	deadline := time.Now().Add(openTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", n.addr(portCallers))
		if err == nil {
			_ = conn.Close() // it is open
			return
		}
		time.Sleep(time.Millisecond)
	}
}
