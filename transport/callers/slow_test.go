package callers

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// slowResponseSize is the size of a response of which most waits in the server's send queue, and
	// slowReadSize how much its caller reads at a time, in bytes.
	slowResponseSize = 2 << 20
	slowReadSize     = 4 << 10
)

// serveLargeResponse is a handler that sends slowResponseSize bytes.
func serveLargeResponse(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, slowResponseSize))
}

// readSlowly reads a complete response: slowly for 2*lingerTime, then fast. In between it sends a
// further request.
func readSlowly(t *testing.T, c net.Conn, br *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	got, piece := 0, make([]byte, slowReadSize)
	sent := false
	for slow := time.Now().Add(2 * lingerTime); got < slowResponseSize; {
		n, err := resp.Body.Read(piece)
		got += n
		must.True(t, err == nil || got == slowResponseSize, must.Sprint(got, " bytes of ", slowResponseSize, " arrived: ", err))
		if time.Now().Before(slow) {
			time.Sleep(lingerTime / 20)
		} else if !sent {
			sent = true
			_, _ = c.Write([]byte(get("/2"))) // the read returns the error of a closed connection
			time.Sleep(lingerTime / 20)
		}
	}
}

// Guards against an idle timeout that runs while the caller is still receiving its response.
func TestSlowlyReadResponseOutlivesTheIdleTimeout(t *testing.T) {
	_, addr := startWithLimits(t, func() Limits { return Limits{IdleTimeout: lingerTime / 5} }, serveLargeResponse)
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	readSlowly(t, c, br)
}

// Guards against a reset of a connection whose caller is still receiving the last response.
func TestSlowlyReadLastResponseArrivesComplete(t *testing.T) {
	s, addr := startWithLimits(t, func() Limits { return Limits{IdleTimeout: time.Minute} }, serveLargeResponse)
	s.DisableKeepAlive()
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	readSlowly(t, c, br)
}
