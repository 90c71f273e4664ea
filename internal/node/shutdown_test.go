package node

import (
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/transport/listen"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// Guards against requests that have arrived at the gate, or at the operators' address, and are lost as
// the node shuts down.
func TestRequestThatHasArrivedIsAnsweredAsAServerShutsDown(t *testing.T) {
	transporttest.CheckShutdownAnswers(t, func(t *testing.T, l *transporttest.HeldListener) func() {
		s, err := openServer(serverConfig{name: "gate", addr: "127.0.0.1:0", logger: log.NewNopLogger()})
		must.NoError(t, err)
		_ = s.ln.Close()
		s.ln = listen.New(l)
		s.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		go func() { _ = s.serve() }()
		t.Cleanup(func() { _ = s.keep.Close() })
		return func() { _ = s.shutdown(t.Context()) }
	})
}
