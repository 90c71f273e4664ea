package forward

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowListener lets each connection wait before its handshake can begin.
type slowListener struct{ net.Listener }

const handshakeDelay = 50 * time.Millisecond

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(handshakeDelay)
	return c, err
}

// The time of a handshake is told apart, so that it does not count as the
// server's own. A request over an idle connection waits for none.
func TestOpeningIsToldApart(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = slowListener{server.Listener}
	server.StartTLS()
	defer server.Close()
	cfg := DefaultClientConfig()
	cfg.TLS = &tls.Config{InsecureSkipVerify: true}
	client := NewClient(cfg)
	defer client.CloseIdleConnections()
	var opened []time.Duration
	for range 2 {
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		resp, opening, err := SendTimed(client, req, nil)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		opened = append(opened, opening)
	}
	must.GreaterEq(t, handshakeDelay, opened[0])
	must.Less(t, opened[0], opened[1])
}
