package outbound

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// pickLink chooses the backend server for a large answer. One from the caller's own
// host needs no link, so that server is asked first; else a link that is soon free
// is looked for among the near ones, and then the best of those asked is taken.
func (x *exchange) pickLink(now time.Time, servers []endpoint.Record, want balance.PickOptions) (balance.Choice, error) {
	b := x.p.cfg.Balance
	if c, ok := b.PickNode(now, x.service, servers, x.p.cfg.Self, &x.tried); ok {
		return c, nil
	}
	if x.links.TryAnother() {
		want.NearestOnly = x.links.Tried()
		c, err := b.PickFor(now, x.service, servers, &x.tried, want)
		if err == nil {
			return c, nil
		}
	}
	if best, ok := x.links.Best(); ok {
		if c, ok := b.PickNode(now, x.service, servers, best, nil); ok {
			return c, nil
		}
	}
	want.NearestOnly = false
	return b.PickFor(now, x.service, servers, &x.tried, want)
}

// linkFull notes how long the link of a host that refused is busy.
func (x *exchange) linkFull(choice balance.Choice, h http.Header) {
	millis, given, err := forward.HeaderInt(h, outcome.HeaderLinkBacklog)
	if err != nil || !given {
		return // a gate that doesn't tell is not worth asking again
	}
	x.links.Refused(choice.Record.Node, time.Duration(millis)*time.Millisecond)
}
