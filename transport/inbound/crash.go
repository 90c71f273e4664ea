package inbound

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

const (
	// probeDelay is how long after a run broke off the traffic has to tell whether the
	// backend server is still there, before it is looked at. A request every 20 ms is
	// less than the users' backend servers get, so that few looks are made.
	probeDelay = 20 * time.Millisecond
	// probeTimeout bounds that look; opening a connection takes some milliseconds.
	probeTimeout = 200 * time.Millisecond
)

// answered notes how a run ended that the backend server has answered.
func (g *Gate) answered(req *http.Request, c call, status int, started time.Time, how bodyEnd) {
	switch how {
	case bodyWhole:
		g.watch.Alive(started, c.instance.ID)
		if isSuccess(status) && g.cfg.Suspects().Suspected(c.print) {
			g.cfg.Succeeded(c.print)
		}
	case bodyBroken:
		g.cut(c, req.Context().Err() == nil && g.cfg.Now().Before(c.Deadline))
	case bodyLeft:
		g.cut(c, false)
	}
}

// isSuccess reports whether a status says that the request was run and done. Other
// answers may come before the run.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// cut notes a run without a whole answer: broken off by the backend server, or given
// up on this side.
func (g *Gate) cut(c call, broken bool) {
	how := quarantine.Left
	if broken {
		how = quarantine.Broken
	}
	crash, known := g.watch.Note(g.cfg.Now(), c.instance.ID, c.print, how)
	switch {
	case known:
		g.report(c.instance, crash, []suspect.Fingerprint{c.print})
	case broken && g.probing.CompareAndSwap(false, true):
		time.AfterFunc(probeDelay, func() { g.probe(c.instance) })
	}
}

// notReached notes that no connection to the backend server could be used.
func (g *Gate) notReached(c call, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.ended(c.instance)
	}
}

// probe looks whether the backend server still accepts connections, where runs broke
// off and nothing else has told since.
func (g *Gate) probe(i *instance.Instance) {
	g.probing.Store(false)
	if !g.watch.Unexplained(i.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := g.cfg.Now()
	switch err := g.cfg.Backend.Reach(ctx, i.Addr); {
	case err == nil:
		g.watch.Alive(began, i.ID)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.ended(i)
		g.cfg.Unreachable(i.ID)
	default:
		_ = g.cfg.Logger.Log("event", "backend_not_probed", "instance", i.ID, "err", err)
	}
}

// ended takes the evidence where the backend server is gone.
func (g *Gate) ended(i *instance.Instance) {
	crash, prints := g.watch.Ended(g.cfg.Now(), i.ID)
	if len(prints) > 0 {
		g.report(i, crash, prints)
	}
}

// report tells of a crash. A backend server that has said goodbye ends with runs under
// way that are not to blame.
func (g *Gate) report(i *instance.Instance, crash suspect.Crash, prints []suspect.Fingerprint) {
	if now := g.cfg.Instance(); now != nil && now.ID == i.ID && now.State != instance.Ready {
		return
	}
	_ = g.cfg.Logger.Log("event", "backend_crashed", "instance", i.ID, "crash", crash.ID, "fingerprints", suspect.Join(prints))
	g.crashes.Inc()
	g.cfg.Crashed(crash, prints)
}
