package callers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// startWithLimits serves a handler on loopback with the given limits, and returns the server and its
// address.
func startWithLimits(t *testing.T, limits func() Limits, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	s := New(Config{
		Handler: h, PipelineDepth: 4, Limits: limits,
		RequestID: func(map[string][]string) string { return "" }, Metrics: metrics.NewSet(), Logger: log.NewNopLogger(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

const (
	varyingCallers = 6
	varyingBatches = 300
)

// varyingServer is a server whose idle timeout differs each time the server reads its limits.
type varyingServer struct {
	server *Server
	addr   string
	ran    sync.Map      // path -> true
	calls  atomic.Uint64 // of Limits
}

// varyingTimeouts are the idle timeouts, in turn. The shortest ones expire before the goroutine that
// sets them reaches its next step.
var varyingTimeouts = []time.Duration{1, 20 * time.Microsecond, time.Minute, 200 * time.Microsecond, time.Nanosecond, 2 * time.Millisecond}

func newVaryingServer(t *testing.T) *varyingServer {
	f := new(varyingServer)
	f.server, f.addr = startWithLimits(t, func() Limits {
		return Limits{HeaderTimeout: time.Minute, IdleTimeout: varyingTimeouts[f.calls.Add(1)%uint64(len(varyingTimeouts))]}
	}, func(w http.ResponseWriter, r *http.Request) {
		f.ran.Store(r.URL.Path, true)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	return f
}

// batch sends n requests in one write and reports whether they were answered. If they weren't, it
// checks that none was handled.
func (f *varyingServer) batch(t *testing.T, c net.Conn, br *bufio.Reader, name string, n int) bool {
	text := ""
	for i := range n {
		text += get(fmt.Sprintf("/%s/%d", name, i))
	}
	_, _ = io.WriteString(c, text) // the read returns the error of a closed connection
	for i := range n {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			must.Eq(t, 0, i, must.Sprint("only some requests of a batch were answered"))
			for j := range n {
				_, ran := f.ran.Load(fmt.Sprintf("/%s/%d", name, j))
				must.False(t, ran, must.Sprint(name, " was handled and got no response"))
			}
			return false
		}
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprintf("/%s/%d", name, i), string(body))
	}
	return true
}

func TestIdleTimeoutDuringAdmissionCutsNoRequest(t *testing.T) {
	f := newVaryingServer(t)
	var all sync.WaitGroup
	var closed, kept atomic.Int32
	for i := range varyingCallers {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		all.Go(func() {
			var c net.Conn
			var br *bufio.Reader
			for n := range varyingBatches {
				if c == nil {
					c, br = dial(t, f.addr)
				}
				if f.batch(t, c, br, fmt.Sprintf("%d-%d", i, n), 1+rng.IntN(7)) {
					kept.Add(1)
				} else {
					closed.Add(1)
					_ = c.Close() // the server has closed it
					c = nil
				}
				time.Sleep(time.Duration(rng.IntN(400)) * time.Microsecond) // about as long as the idle timeouts
			}
		})
	}
	all.Wait()
	must.Positive(t, closed.Load())
	must.Positive(t, kept.Load())
	for _, cause := range []cutCause{cutCallerLeft, cutBroken, cutShutdown} {
		must.Eq(t, 0, f.server.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="`+string(cause)+`"}`).Get())
	}
	t.Logf("%d batches answered, %d found their connection closed", kept.Load(), closed.Load())
}

func TestCallerThatHalfClosesGetsAResponseToEachRequest(t *testing.T) {
	for name, n := range map[string]int{"all are worked on": 4, "some wait for their turn": 7} {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}, n), make(chan struct{})
			_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c, br := dial(t, addr)
			for i := range n {
				send(t, c, get(fmt.Sprintf("/%d", i)))
			}
			for range 4 {
				<-begun
			}
			must.NoError(t, c.(*net.TCPConn).CloseWrite())
			if n > 4 { // the end of the stream is read behind the last request
				close(release)
			}
			for i := range n {
				resp, body := readResponse(t, br)
				must.Eq(t, fmt.Sprintf("/%d", i), body)
				must.False(t, resp.Close)
			}
			_, err := br.ReadByte()
			must.ErrorIs(t, err, io.EOF)
		})
	}
}
