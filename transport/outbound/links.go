package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// pickLink chooses the backend server for a request with a large response. The server on
// the caller's own host is tried first, as its response needs no link. The next attempts go
// to hosts whose link may be free soon, after the first of them only to those of the nearest
// tier. If these refuse, the one that reported the shortest backlog is tried again, and after
// that any other server.
func (x *exchange) pickLink(now time.Time, servers []endpoint.Record, options balance.PickOptions) (balance.Choice, error) {
	b := x.p.cfg.Balance
	if c, ok := b.PickNode(now, x.service, servers, x.p.cfg.Self, &x.exclusions); ok {
		return c, nil
	}
	if x.linkSearch.TryAnother() {
		options.NearestOnly = x.linkSearch.Tried()
		c, err := b.PickFor(now, x.service, servers, &x.exclusions, options)
		if err == nil {
			return c, nil
		}
	}
	if best, ok := x.linkSearch.Best(); ok {
		if c, ok := b.PickNode(now, x.service, servers, best, nil); ok {
			return c, nil
		}
	}
	options.NearestOnly = false
	return b.PickFor(now, x.service, servers, &x.exclusions, options)
}

// linkFull records the link backlog that the gate of a host reported with its refusal.
func (x *exchange) linkFull(choice balance.Choice, h http.Header) {
	millis, given, err := forward.HeaderInt(h, outcome.HeaderLinkBacklog)
	if err != nil || !given {
		return // a host whose backlog isn't known is not tried again
	}
	x.linkSearch.Refused(choice.Record.Node, time.Duration(millis)*time.Millisecond)
}
