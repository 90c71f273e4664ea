package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds of the statements of backend servers.
const (
	// touchTime is how long after a backend server has first stated its limit the limit holds,
	// limitWindow the length of the windows in which it does, and toldAfter how long before a
	// request its node must have passed a statement on.
	touchTime   = 3 * time.Second
	limitWindow = 4 * time.Second
	toldAfter   = 500 * time.Millisecond
	// In a window a backend server may get limitOver times what its limit allows, and limitSlack
	// requests more.
	limitOver  = 1.5
	limitSlack = 5
	// statedTime is how long a backend server states a limit, beside the length of the step: the
	// time until the limit holds, and more than a window.
	statedTime = touchTime + limitWindow
	// quietTime is how long callers are quiet: almost a window.
	quietTime = 3500 * time.Millisecond
	// tellTime is how long a backend server states a limit that all its load fits in, so that
	// many nodes have passed a statement on.
	tellTime = time.Second
	// looseLimit is that limit, and tightLimit one that its load exceeds, in requests per second.
	looseLimit, tightLimit = 500, 10.9
	// limitKills is how often a node is killed while its backend server states a limit: some
	// times within a window.
	limitKills     = 5
	limitKillEvery = time.Second
)

// statedLimits are the limits that steps draw from, in requests per second.
var statedLimits = []float64{0, 0.2, 2, 5, 10.9, 25}

// LimitSpan is a time in which a start of a backend server stated a limit.
type LimitSpan struct {
	From, To  time.Time
	PerSecond float64
}

// stateLimits lets a node's backend server state a limit, then a lower one, and none again.
func (s *soak) stateLimits(ctx context.Context, step Step) {
	server := s.site.nodes[step.Node].host.stating()
	if server == nil {
		return
	}
	i := int(step.For/(100*time.Millisecond)) % len(statedLimits)
	for _, perSecond := range []float64{statedLimits[i], statedLimits[i/2]} {
		server.StateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
		from := time.Now()
		wait(ctx, step.For+statedTime/2)
		s.noteLimit(server, LimitSpan{From: from, To: time.Now(), PerSecond: perSecond})
	}
	server.StateLimit()
}

// limitAndKill lets a node's backend server state a limit of 0, and kills the node meanwhile.
func (s *soak) limitAndKill(ctx context.Context, step Step) {
	s.limitWhile(ctx, step, 0, func() {
		n := s.site.nodes[step.Node]
		defer s.open(FaultKill, step.Node)()
		n.busy.Lock()
		defer n.busy.Unlock()
		for range limitKills {
			p, _ := n.running()
			p.Kill()
			s.startAgain(n)
			wait(ctx, limitKillEvery)
		}
	})
}

// limitAndPause lets a node's backend server state a limit, and all callers be quiet meanwhile.
func (s *soak) limitAndPause(ctx context.Context, step Step) {
	s.limitWhile(ctx, step, tightLimit, func() {
		s.callers.quiet.Add(1)
		wait(ctx, quietTime)
		s.callers.quiet.Add(-1)
	})
}

// limitWhile lets a node's backend server state a limit that many nodes pass on, and then another
// one, under which something happens.
func (s *soak) limitWhile(ctx context.Context, step Step, perSecond float64, happens func()) {
	server := s.site.nodes[step.Node].host.stating()
	if server == nil {
		return
	}
	server.StateLimit(strconv.Itoa(looseLimit))
	from := time.Now()
	wait(ctx, tellTime)
	s.noteLimit(server, LimitSpan{From: from, To: time.Now(), PerSecond: looseLimit})
	server.StateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	from = time.Now()
	wait(ctx, touchTime)
	happens()
	wait(ctx, limitWindow)
	s.noteLimit(server, LimitSpan{From: from, To: time.Now(), PerSecond: perSecond})
	server.StateLimit()
}

// stating returns the present backend server if it states nothing yet; nil otherwise.
func (h *host) stating() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.current
	if s == nil || h.draining || s.states {
		return nil
	}
	s.states = true
	return s
}

func (s *soak) noteLimit(server *server, span LimitSpan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := startOf(server.ID, server.Born)
	s.limits[start] = append(s.limits[start], span)
}

// stateLeaving lets a node's backend server state in its answers alone that it leaves, and
// replaces it when its time is over.
func (s *soak) stateLeaving(ctx context.Context, step Step) {
	h := s.site.nodes[step.Node].host
	server := h.stating()
	if server == nil {
		return
	}
	server.StateLeaving(true)
	wait(ctx, 2*drainTime+step.For)
	if !h.is(server) {
		return // it has crashed meanwhile
	}
	if err := h.replace(int(time.Now().UnixMilli() % 1000)); err != nil {
		s.add(CheckRecovery, "%s: %v", s.site.nodes[step.Node].name, err)
	}
	wait(ctx, drainMargin)
	_ = server.http.Close() // its requests have ended, or break the promise
}

// servicePrefixes begin the paths of a route to each service.
var servicePrefixes = []string{"/status/", "/layout/"}

// statedLimitGauge is the metric with the limit that a node keeps; noLimit is its value for none.
const (
	statedLimitGauge = "jacinthgate_inbound_stated_limit "
	noLimit          = "-1"
)

// checkLimitsEnded checks that nodes keep no limit once no backend server states one, and
// requests have come.
func (s *soak) checkLimitsEnded(ctx context.Context, bound time.Duration) {
	deadline := time.Now().Add(bound)
	for _, n := range s.site.nodes {
		for n.keptLimit() != noLimit {
			if time.Now().After(deadline) || ctx.Err() != nil {
				s.add(CheckLimitEnds, "%s keeps a limit of %s %v after the last one was stated", n.name, n.keptLimit(), bound)
				break
			}
			for _, from := range s.site.nodes {
				for _, prefix := range servicePrefixes {
					s.callers.send(from.caller(true), from, prefix)
				}
			}
		}
	}
}

// keptLimit returns the limit that a node's gate keeps, as its metric tells it.
func (n *node) keptLimit() string {
	resp, err := http.Get(fmt.Sprintf("http://%s/metrics", n.addr(portMetrics)))
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	_, rest, _ := strings.Cut(string(body), statedLimitGauge)
	value, _, _ := strings.Cut(rest, "\n")
	return value
}
