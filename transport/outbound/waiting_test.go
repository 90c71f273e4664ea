package outbound

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

func TestPipelineWaitCountsTowardsTheDeadline(t *testing.T) {
	var now atomic.Int64
	left := make(chan string, 1)
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/post" {
			left <- r.Header.Get(outcome.HeaderDeadline)
		} else {
			now.Store(int64(600 * time.Millisecond)) // the duration of this request
		}
		return relayedResponse(0, strings.NewReader("")), nil
	})
	p.cfg.Now = func() time.Time { return time.Now().Add(time.Duration(now.Load())) }
	c, br := connect(t, p)
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	must.Len(t, 2, readBodies(br, 2))
	ms, err := strconv.Atoi(<-left)
	must.NoError(t, err)
	must.LessEq(t, 400, ms) // of the route's 1,000
}

func TestRequestThatExpiresInThePipelineIsNotSent(t *testing.T) {
	var now atomic.Int64
	sends := 0
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/post" {
			sends++
		}
		now.Store(int64(1200 * time.Millisecond)) // beyond the route's timeout of one second
		return relayedResponse(0, strings.NewReader("")), nil
	})
	p.cfg.Now = func() time.Time { return time.Now().Add(time.Duration(now.Load())) }
	c, br := connect(t, p)
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /post HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	_, err = http.ReadResponse(br, nil)
	must.NoError(t, err)
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, 0, sends)
}
