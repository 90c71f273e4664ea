package outbound

import (
	"github.com/jacinthgate/jacinthgate/coordination/balance"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
)

var elsewhereValue = []string{"1"}

// mayGoElsewhere reports whether a gate may refuse the request since its host is slow at
// this moment: once, where another backend server can be asked, and only near, as another
// zone's link isn't free. Large answers go where a link is.
func (x *exchange) mayGoElsewhere(to *endpoint.Record) bool {
	return !x.sentOn && x.others && to.Zone == x.p.cfg.Zone && x.route.Kind != model.KindBulk
}

// sendOn notes that a gate has refused since its host is slow. It isn't tried in vain: the
// request may come back to it, and is then taken.
func (x *exchange) sendOn(choice balance.Choice) {
	x.sentOn = true
	x.tried.Remove(choice.Record.Node)
}
