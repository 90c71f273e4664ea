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

// slowListener delays each connection before its handshake can begin.
type slowListener struct{ net.Listener }

const handshakeDelay = 50 * time.Millisecond

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(handshakeDelay)
	return c, err
}

// The time of a handshake is reported separately, so that it doesn't count as the
// server's response time. A request on an idle connection needs no handshake.
func TestConnectTimeIsReportedSeparately(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = slowListener{server.Listener}
	server.StartTLS()
	defer server.Close()
	cfg := DefaultClientConfig()
	cfg.TLS = &tls.Config{InsecureSkipVerify: true}
	client := NewClient(cfg)
	defer client.CloseIdleConnections()
	var connectTimes []time.Duration
	for range 2 {
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		resp, connectTime, err := SendTimed(client, req, nil)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		connectTimes = append(connectTimes, connectTime)
	}
	must.GreaterEq(t, handshakeDelay, connectTimes[0])
	must.Less(t, connectTimes[0], connectTimes[1])
}
