package sidecar

import (
	"net/http"
	"testing"

	"github.com/go-kit/log"

	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against requests of other nodes that have arrived at a gate and are lost as it shuts down.
func TestRequestThatHasArrivedIsAnsweredAsTheGateShutsDown(t *testing.T) {
	transporttest.CheckShutdownAnswers(t, func(t *testing.T, l *transporttest.HeldListener) func() {
		n := &Node{log: log.NewNopLogger(), listeners: map[string]*listen.Listener{listenGate: listen.New(l)}}
		s := n.addPlain(listenGate, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		go func() { _ = s.serve() }()
		t.Cleanup(func() { _ = s.http.Close() })
		return func() { _ = s.shutdown(t.Context(), n.log) }
	})
}
