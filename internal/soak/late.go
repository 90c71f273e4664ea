package soak

import (
	"net/http"
	"strings"
	"time"
)

const (
	// lateSuffix ends the paths of requests whose body a backend server begins to read after
	// lateTime: longer than bytes may go without an acknowledgement.
	lateSuffix = "-late"
	lateTime   = 450 * time.Millisecond
	// lateShare is the share of requests with a body that it is read late.
	lateShare = 0.5
	// smallBuffer is the kernel's receive buffer of a connection to a backend server, in bytes:
	// a body fills it.
	smallBuffer = 4 << 10
)

func isLate(path string) bool { return strings.HasSuffix(path, lateSuffix) }

// checkLate checks that a body that is read late arrives: the node mustn't take its backend server
// for lost.
func (h *History) checkLate(r *Request, found *report) {
	if isLate(r.Path) && r.Status == http.StatusBadGateway && !r.Stamped && !h.during(r, func(f Fault) bool { return !f.Planned() && !f.OfStore() }) {
		found.add(CheckLate, "%s to node %d got %d after %v", r.ID, r.Node, r.Status, r.Done.Sub(r.Sent))
	}
}
