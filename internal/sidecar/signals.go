package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/coordination/member"
	"github.com/jacinthgate/jacinthgate/internal/signals"
)

const (
	// noticeTime is how long a leaving node goes on taking what callers send:
	// the platform asks once a second whether it is ready, and takes its
	// callers away after two answers that it isn't.
	noticeTime = 2600 * time.Millisecond
	// withdrawLead is the last part of noticeTime, in which the fleet already
	// knows that the backend server beside the node is not to be had. Until then
	// it goes on working for the callers of other hosts: hosts are restarted in
	// turn, and a service misses the slots of each. A flood of the record takes
	// some milliseconds; requests that are under way at its end still have the
	// rest of the grace time.
	withdrawLead = 800 * time.Millisecond
	// exitPart is the last part of the grace time, in which the node ends in any
	// case: callers are told by then that what is still under way isn't known.
	exitPart = 6
	// farewellTime is how long the record that the node has left may take to
	// reach the neighbours.
	farewellTime = 50 * time.Millisecond
	// reloadCheck is the time between two looks whether the settings file has
	// changed: it may change without a signal.
	reloadCheck = 5 * time.Second
)

// addSignals adds the part that waits for signals: SIGTERM ends the node, SIGHUP reads the
// settings again.
func (n *Node) addSignals(g *run.Group, caught *signals.Signals) {
	stop := make(chan struct{})
	execute := func() error {
		check := time.NewTicker(reloadCheck)
		defer check.Stop()
		for {
			select {
			case <-stop:
				return nil
			case <-check.C:
				n.reload("file changed")
			case <-caught.Reload():
				n.reload("SIGHUP")
			case s := <-caught.Stop():
				n.shutdown(s)
				return nil
			}
		}
	}
	g.Add(execute, func(error) { close(stop) })
}

// reload reads the settings again if the file's content has changed. Addresses
// stay as they were opened; faulty settings change nothing.
func (n *Node) reload(cause string) {
	content, err := os.ReadFile(n.path)
	if err != nil {
		_ = level.Warn(n.log).Log("event", "settings_unread", "err", err)
		return
	}
	if bytes.Equal(content, n.set.content) {
		return
	}
	set, err := parse(content)
	if err != nil {
		n.set.content = content // it is reported once
		_ = level.Error(n.log).Log("event", "settings_refused", "cause", cause, "err", err)
		return
	}
	n.budget.SetConfig(set.budget())
	n.backends.setService(set.Service)
	n.set.content = content
	_ = n.log.Log("event", "settings_read", "cause", cause, "addresses_changed", set.Listen != n.set.Listen)
}

// shutdown lets the callers take notice first, then withdraws the node from the
// fleet, and in the end lets the requests in flight finish. From then on it refuses those
// that it may not have the time for.
func (n *Node) shutdown(s os.Signal) {
	began := time.Now()
	_ = n.log.Log("event", "shutdown_started", "signal", s)
	n.pub.leaving.Store(true)
	n.front.DisableKeepAlive()
	notice := min(noticeTime, n.set.grace()/2)
	time.Sleep(notice - min(withdrawLead, notice))
	n.pub.withdrawn.Store(true)
	n.announce(n.pub.instance.Load())
	n.gateServer.Leave()
	lead := min(withdrawLead, notice)
	time.Sleep(lead / 2)
	n.gateServer.CloseIdle() // the end of the process needn't wait for other nodes to notice it
	time.Sleep(lead - lead/2)
	end := began.Add(n.set.grace() - n.set.grace()/exitPart)
	n.proxy.BeginShutdown(end)
	ctx, cancel := context.WithDeadline(n.ctx, end)
	defer cancel()
	err := n.callers.shutdown(ctx, n.log)
	// The gate ends last: requests of this host's callers may be using it.
	if gateErr := n.gates.shutdown(ctx, n.log); gateErr != nil {
		_ = n.log.Log("event", "gate_requests_cut", "requests", n.gate.Serving(), "err", gateErr)
		err = cmp.Or(err, gateErr)
	}
	n.loop.queue.Post(n.ctx, member.Leave{})
	time.Sleep(farewellTime)
	_ = n.log.Log("event", "shutdown_finished", "took", time.Since(began), "err", err)
}
