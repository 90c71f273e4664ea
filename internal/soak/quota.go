package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time in which a process may use its share of a core, and quotaCheck
	// the time between two looks at what it has used.
	quotaPeriod = 100 * time.Millisecond
	quotaCheck  = time.Millisecond
)

// cpuQuota stops nodes that have used their share of a core for the rest of a period, as the
// scheduler does with a bounded group of processes. What a process uses beyond its share is
// taken off its next periods.
type cpuQuota struct {
	share float64
	used  map[*node]*quotaUse
}

// quotaUse is what one process has used.
type quotaUse struct {
	life    int           // the start of the node that it belongs to
	cpu     time.Duration // used until the last look
	left    time.Duration // of the share; below zero it has to wait
	stopped bool
	once    bool // it was stopped in this period
}

// throttled are how many periods of processes there were, and how many of them were cut short.
type throttled struct {
	mu           sync.Mutex
	periods, cut int
}

// bound bounds the processor time of all nodes until ctx ends.
func (s *soak) bound(ctx context.Context, share float64) {
	q := &cpuQuota{share: share, used: make(map[*node]*quotaUse)}
	tick := time.NewTicker(quotaCheck)
	defer tick.Stop()
	next := time.Now().Add(quotaPeriod)
	for ctx.Err() == nil {
		now := <-tick.C
		refill := !now.Before(next)
		if refill {
			next = now.Add(quotaPeriod)
		}
		for _, n := range s.site.nodes {
			q.look(n, refill, &s.throttled)
		}
	}
	for n, u := range q.used {
		u.set(n, false)
	}
}

// look stops a node that has used its share, and lets it go on in the next period.
func (q *cpuQuota) look(n *node, refill bool, t *throttled) {
	p, life := n.running()
	if !p.Alive() {
		return
	}
	u := q.used[n]
	cpu, err := processTime(p.PID())
	if err != nil {
		return // it has just ended
	}
	if u == nil || u.life != life {
		u = &quotaUse{life: life, cpu: cpu, left: q.perPeriod()}
		q.used[n] = u
	}
	u.left -= cpu - u.cpu
	u.cpu = cpu
	if refill {
		u.left = min(u.left+q.perPeriod(), q.perPeriod())
		t.note(u.once)
		u.once = u.stopped && u.left <= 0
	}
	u.set(n, u.left <= 0)
}

func (q *cpuQuota) perPeriod() time.Duration { return time.Duration(q.share * float64(quotaPeriod)) }

// set stops a process or lets it go on.
func (u *quotaUse) set(n *node, stop bool) {
	if u.stopped == stop {
		return
	}
	sig := syscall.SIGCONT
	if stop {
		sig, u.once = syscall.SIGSTOP, true
	}
	if p, life := n.running(); life == u.life {
		_ = p.Signal(sig) // it may just have ended
	}
	u.stopped = stop
}

func (t *throttled) note(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.periods++
	if cut {
		t.cut++
	}
}

// processClock is the part of a clock's number that says that it counts a process's processor
// time.
const processClock = 2

// processTime returns the processor time that a process has used.
func processTime(pid int) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processClock), &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
