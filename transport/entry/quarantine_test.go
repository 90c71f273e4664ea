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

// crashingBackend is a backend server that crashes when it runs "/deadly" and restarts
// after 100 ms.
type crashingBackend struct {
	t       *testing.T
	addr    string
	crashes atomic.Int64
	up      atomic.Bool
}

func (c *crashingBackend) start() {
	ln, err := net.Listen("tcp", c.addr)
	must.NoError(c.t, err)
	c.addr = ln.Addr().String()
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/deadly" || !c.up.CompareAndSwap(true, false) {
			return
		}
		_ = server.Close() // an error changes nothing: the server crashes
		c.crashes.Add(1)
		time.AfterFunc(100*time.Millisecond, c.start)
		panic(http.ErrAbortHandler)
	})
	c.up.Store(true)
	go func() { _ = server.Serve(ln) }() // Close ends it
}

// A request crashes each backend server that runs it, and its caller retries it. Without
// a record of crashes that outlasts the attempt, each retry crashes another backend
// server. The fingerprint that is in flight at one crash after the other is the evidence
// by which the request is quarantined.
func TestRequestThatEndsBackendServersIsNotSentOn(t *testing.T) {
	suspects := quarantine.New(1)
	var view atomic.Pointer[suspect.View]
	b := newTestBed()
	b.crashed = func(c suspect.Crash, fingerprints []suspect.Fingerprint) {
		var ev core.Event = quarantine.Crashed{Crash: c, Fingerprints: fingerprints}
		suspects.Step(time.Now(), ev)
		view.Store(suspects.View())
	}
	b.cfg.Suspects = view.Load
	b.class.Repeatable = true
	c := &crashingBackend{t: t, addr: "127.0.0.1:0"}
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
	must.Eq(t, suspect.Threshold, c.crashes.Load())
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
