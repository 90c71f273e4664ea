package outbound

import (
	"net/http"

	"github.com/jacinthgate/jacinthgate/coordination/balance"
)

// observeStatements records what a backend server states about itself in its response. A
// statement that can't be parsed has no effect; the gate logs it.
func (x *exchange) observeStatements(choice balance.Choice, h http.Header) {
	if leaving, err := x.p.cfg.Dialect.Leaving(h); err == nil && leaving {
		x.p.cfg.Leaving(choice.Record.Instance)
	}
}
