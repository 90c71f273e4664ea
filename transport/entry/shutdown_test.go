package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
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

// Guards against a caller's request that crosses the close of its idle connection and gets no response.
func TestRequestThatCrossesTheEndOfTheProxyIsToldNotRun(t *testing.T) {
	b := newTestBed()
	b.start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = b.proxy.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	const request = "GET /x HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n"
	responses := bufio.NewReader(c)
	_, err = io.WriteString(c, request)
	must.NoError(t, err)
	resp, err := http.ReadResponse(responses, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- b.proxy.Shutdown(t.Context()) }()
	_, _ = responses.Peek(1) // the node has closed the connection
	_, err = io.WriteString(c, request)
	must.NoError(t, err)
	resp, err = http.ReadResponse(responses, nil)
	must.NoError(t, err)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.NoError(t, <-ended)
}
