package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/coordination/quarantine"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

// crashing is a backend server that ends when it runs "/deadly", and is back at once.
type crashing struct {
	t     *testing.T
	addr  string
	ended atomic.Int64
	up    atomic.Bool
}

func (c *crashing) start() {
	ln, err := net.Listen("tcp", c.addr)
	must.NoError(c.t, err)
	c.addr = ln.Addr().String()
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/deadly" || !c.up.CompareAndSwap(true, false) {
			return
		}
		_ = server.Close() // nothing is left to do about it
		c.ended.Add(1)
		time.AfterFunc(100*time.Millisecond, c.start)
		panic(http.ErrAbortHandler)
	})
	c.up.Store(true)
	go func() { _ = server.Serve(ln) }() // it ends by Close
}

// A request ended each backend server that ran it, and its caller asked again: nothing
// remembered it from one time to the next. Evidence: the requests that broke off with
// a backend server had it in common, again and again.
func TestRequestThatEndsBackendServersIsNotSentOn(t *testing.T) {
	suspects := quarantine.New(1)
	var view atomic.Pointer[suspect.View]
	b := newBed()
	b.crashed = func(c suspect.Crash, fingerprints []suspect.Fingerprint) {
		var ev core.Event = quarantine.Crashed{Crash: c, Fingerprints: fingerprints}
		suspects.Step(time.Now(), ev)
		view.Store(suspects.View())
	}
	b.cfg.Suspects = view.Load
	b.class.Repeatable = true
	c := &crashing{t: t, addr: "127.0.0.1:0"}
	c.start()
	b.work, b.addr = nil, c.addr
	b.start(t)
	last := 0
	for range 12 {
		resp, err := b.client.Do(b.request(t, http.MethodGet, "/deadly", ""))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		last = resp.StatusCode
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(c.up.Load), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	}
	must.Eq(t, suspect.Threshold, c.ended.Load())
	must.Eq(t, http.StatusServiceUnavailable, last)
	resp, err := b.client.Do(b.request(t, http.MethodGet, "/other", ""))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)

	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://"+testHost+"/deadly", strings.NewReader(""))
	b.proxy.ServeHTTP(w, r)
	must.Eq(t, string(outcome.ReasonQuarantined), w.Header().Get(outcome.HeaderReason))
	must.Eq(t, string(outcome.NotRun), w.Header().Get(outcome.HeaderOutcome))
	after, err := strconv.Atoi(w.Header().Get("Retry-After"))
	must.NoError(t, err)
	must.Between(t, 60, after, 120)
}
