package callers

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ask sends a request on a connection and returns the status; 0 if there was no answer.
func ask(c net.Conn, r *bufio.Reader, path string) int {
	if _, err := c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against callers' idle connections that use up the descriptors which the process needs for
// other nodes and the store.
func TestNewConnectionsReplaceIdleOnesAtTheBound(t *testing.T) {
	const bound = 3
	release := make(chan struct{})
	s, addr := startBoundedServer(t, bound, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	busy, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	answered := make(chan int, 1)
	go func() { answered <- ask(busy, bufio.NewReader(busy), "/slow") }()
	for i := range 10 {
		c, err := net.Dial("tcp", addr)
		must.NoError(t, err)
		defer c.Close()
		must.Eq(t, http.StatusOK, ask(c, bufio.NewReader(c), "/"), must.Sprint("connection ", i))
		must.LessEq(t, bound, s.connections())
	}
	close(release)
	must.Eq(t, http.StatusOK, <-answered, must.Sprint("a connection with a request is not closed"))
	must.Positive(t, s.cfg.Metrics.GetOrCreateCounter("jacinthgate_callers_evicted_total").Get())
}

// Guards against a shutdown that waits for room and resets what waits in the backlog.
func TestConnectionsBeyondTheBoundAreServedWhenAnotherEnds(t *testing.T) {
	_, addr := startBoundedServer(t, 1, func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
	})
	statuses := make(chan int, 5)
	for range cap(statuses) {
		go func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				statuses <- 0
				return
			}
			defer c.Close()
			statuses <- ask(c, bufio.NewReader(c), "/")
		}()
	}
	for range cap(statuses) {
		must.Eq(t, http.StatusOK, <-statuses)
	}
}
