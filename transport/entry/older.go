package entry

import (
	"net/http"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

type rawServer struct{}

func newRawServer(*Proxy) *rawServer { return &rawServer{} }

// serveOlder passes a request to the older system.
func (p *Proxy) serveOlder(w http.ResponseWriter, r *http.Request) {
	p.notRun(outcome.ReasonOlderUnreachable, "not built yet").Write(w)
}
