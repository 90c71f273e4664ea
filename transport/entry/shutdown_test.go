package entry

import (
	"testing"

	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against callers' requests that have arrived at a node and are lost as it shuts down: the
// caller sees a connection that ends without a response.
func TestRequestThatHasArrivedIsAnsweredAsTheProxyShutsDown(t *testing.T) {
	transporttest.CheckShutdownAnswers(t, func(t *testing.T, l *transporttest.HeldListener) func() {
		b := newTestBed()
		b.start(t)
		drained := listen.New(l)
		go func() { _ = b.proxy.Serve(drained) }()
		return func() {
			b.proxy.Leave()
			_ = drained.Drain(t.Context())
			_ = b.proxy.Shutdown(t.Context())
		}
	})
}
