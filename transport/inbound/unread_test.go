package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/transport/transporttest"
)

// A request that is refused before its body was read must not break the connection for the
// next request.
func TestRefusedBodyDoesNotEndTheConnectionOfTheNextRequest(t *testing.T) {
	g, _ := newGate(t, attempt.NewRuns(), 0, nil)
	synctest.Test(t, func(t *testing.T) {
		entry, accepted := net.Pipe()
		defer entry.Close()
		_ = (&http.Server{Handler: g}).Serve(transporttest.SingleListener(accepted))
		responses := bufio.NewReader(entry)
		body := strings.Repeat("x", maxBufferedRequest+1)
		for _, request := range []string{
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + body + "\r\n0\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		} {
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(entry, request)
				sent <- err
			}()
			resp, err := http.ReadResponse(responses, nil)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			synctest.Wait()
			if resp.Close {
				return
			}
			must.NoError(t, <-sent)
		}
	})
}
