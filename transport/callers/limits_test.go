package callers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// versions is the history of limits that change while connections are in use.
type versions struct {
	mu  sync.Mutex
	all []version
}

// version is a set of limits and the time at which it came into force.
type version struct {
	at     time.Time
	limits Limits
}

func (v *versions) put(l Limits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, version{at: time.Now(), limits: l})
}

func (v *versions) inForce() Limits {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.all[len(v.all)-1].limits
}

// shortestIdle returns the shortest idle timeout that was in force at any time between from and to.
func (v *versions) shortestIdle(from, to time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	shortest := time.Duration(-1)
	for i, one := range v.all {
		ended := i+1 < len(v.all) && v.all[i+1].at.Before(from)
		if ended || one.at.After(to) {
			continue
		}
		if shortest < 0 || one.limits.IdleTimeout < shortest {
			shortest = one.limits.IdleTimeout
		}
	}
	return shortest
}

// Size of a series.
const (
	seriesSeeds       = 60
	seriesConnections = 5
	seriesBatches     = 14
	maxPipelined      = 7 // more than the server handles concurrently
)

// series is a simulation of a server whose limits change at random, and of its callers.
type series struct {
	t         *testing.T
	seed      uint64
	server    *Server
	versions  *versions
	ran       sync.Map // path -> true
	cancelled atomic.Int32
	// idleEnds is the number of connections that were closed while idle, openVersions the number of
	// versions that came into force while a batch was in flight, and open the number of those batches.
	idleEnds, openVersions atomic.Int32
	open                   atomic.Int32
}

func newSeries(t *testing.T, seed uint64) *series {
	s := &series{t: t, seed: seed, versions: new(versions)}
	s.versions.put(Limits{HeaderBytes: 1 << 10, HeaderTimeout: 2 * time.Second, IdleTimeout: time.Second})
	s.server = New(Config{
		Handler: http.HandlerFunc(s.serve), PipelineDepth: 4, Limits: s.versions.inForce,
		RequestID: func(map[string][]string) string { return "" }, Metrics: metrics.NewSet(), Logger: log.NewNopLogger(),
	})
	return s
}

// serve handles a request for as long as its path sets, and sends the response in the form that the
// path sets: short, flushed, or with Content-Length.
func (s *series) serve(w http.ResponseWriter, r *http.Request) {
	s.ran.Store(r.URL.Path, true)
	parts := strings.Split(r.URL.Path, "/") // "", name, form, milliseconds
	millis, _ := strconv.Atoi(parts[3])     // paths are made by newRequest
	body, _ := io.ReadAll(r.Body)           // a truncated body shows in the response
	select {
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-r.Context().Done():
		s.cancelled.Add(1)
	}
	text := r.URL.Path + string(body)
	switch parts[2] {
	case "0":
		_, _ = io.WriteString(w, text)
	case "1":
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(millis) * time.Millisecond / 4)
		_, _ = io.WriteString(w, text)
	default:
		text = strings.Repeat(text, 1000)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// request is a request that a caller sends, with the response body that it expects.
type request struct{ path, text, want string }

// postBody is the body of POST requests.
var postBody = strings.Repeat("-body-", 10)

// newRequest returns a random request with a unique name.
func newRequest(rng *rand.Rand, name string) request {
	form := rng.IntN(3)
	path := fmt.Sprintf("/%s/%d/%d", name, form, rng.IntN(600))
	r := request{path: path, text: get(path), want: path}
	if rng.IntN(5) == 0 {
		r.text = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(postBody), postBody)
		r.want = path + postBody
	}
	if form == 2 {
		r.want = strings.Repeat(r.want, 1000)
	}
	return r
}

// call opens a connection and sends batches of requests until the connection is closed or all are
// sent. It returns the number of batches sent.
func (s *series) call(rng *rand.Rand, name string, batches int) int {
	c, raw := net.Pipe()
	s.server.open(raw)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	idle := time.Now()
	for n := range batches {
		closed, ended := s.pause(rng, c, br), time.Now()
		if closed {
			s.idleEnds.Add(1)
			must.GreaterEq(s.t, s.versions.shortestIdle(idle, ended), ended.Sub(idle), must.Sprint("seed ", s.seed))
			return n
		}
		s.exchange(rng, c, br, fmt.Sprintf("%s-%d", name, n))
		idle = time.Now()
	}
	return batches
}

// pause leaves the connection idle for a while and reports whether it was closed.
func (s *series) pause(rng *rand.Rand, c net.Conn, br *bufio.Reader) bool {
	until := time.Now().Add(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
	_ = c.SetReadDeadline(until) // fails if the connection was closed, as the read does
	_, err := br.Peek(1)
	must.Error(s.t, err, must.Sprint("the server sent bytes without a request"))
	_ = c.SetReadDeadline(time.Time{}) // fails if the connection was closed, as the read does
	return err == io.EOF
}

// exchange sends a batch of pipelined requests, with a pause within one of them, and checks their
// responses.
func (s *series) exchange(rng *rand.Rand, c net.Conn, br *bufio.Reader, name string) {
	var all []request
	text := ""
	for i := range 1 + rng.IntN(maxPipelined) {
		all = append(all, newRequest(rng, fmt.Sprintf("%s-%d", name, i)))
		text += all[i].text
	}
	split := splitPoint(rng, all)
	gap := time.Duration(rng.Int64N(int64(longestGap(text[:split]))))
	s.open.Add(1)
	defer s.open.Add(-1)
	go func() { // lost bytes show in the responses
		_, _ = io.WriteString(c, text[:split])
		time.Sleep(gap)
		_, _ = io.WriteString(c, text[split:])
	}()
	for _, r := range all {
		resp, err := http.ReadResponse(br, nil)
		must.NoError(s.t, err, must.Sprint("seed ", s.seed, " ", r.path))
		body, err := io.ReadAll(resp.Body)
		must.NoError(s.t, err, must.Sprint("seed ", s.seed, " ", r.path))
		must.True(s.t, string(body) == r.want, must.Sprint("seed ", s.seed, " ", r.path))
		must.False(s.t, resp.Close)
		s.ran.Delete(r.path)
	}
}

// splitPoint returns a random offset inside a request of a batch, in bytes from the batch's start.
func splitPoint(rng *rand.Rand, all []request) int {
	n := rng.IntN(len(all))
	split := 1 + rng.IntN(len(all[n].text)-1)
	for _, before := range all[:n] {
		split += len(before.text)
	}
	return split
}

// longestGap returns the longest pause after a part of a batch that must not cause an error: a body
// has no timeout, and a head must arrive within the shortest header timeout of the series.
func longestGap(sent string) time.Duration {
	parts := strings.Split(sent, "\r\n\r\n")
	if body := parts[len(parts)-1]; body != "" && strings.HasPrefix(postBody, body) {
		return 5 * time.Second
	}
	return 900 * time.Millisecond
}

// change puts random versions in force, at random intervals, until stop is closed.
func (s *series) change(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(150 * time.Millisecond)))):
		}
		if s.open.Load() > 0 {
			s.openVersions.Add(1)
		}
		s.versions.put(Limits{
			HeaderBytes:   1<<10 + rng.IntN(8<<10),
			HeaderTimeout: time.Second + time.Duration(rng.Int64N(int64(2*time.Second))),
			IdleTimeout:   time.Millisecond << rng.IntN(12), // 1 ms to 2 s
		})
	}
}

func (s *series) run() {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	stop := make(chan struct{})
	var callers, changes sync.WaitGroup
	changes.Go(func() { s.change(rand.New(rand.NewPCG(s.seed, 2)), stop) })
	for i := range seriesConnections {
		own := rand.New(rand.NewPCG(s.seed, rng.Uint64()))
		callers.Go(func() {
			for left, n := seriesBatches, 0; left > 0; n++ {
				left -= max(1, s.call(own, fmt.Sprintf("c%d-%d", i, n), left))
			}
		})
	}
	callers.Wait()
	close(stop)
	changes.Wait()
	s.ran.Range(func(path, _ any) bool {
		s.t.Errorf("seed %d: %v was handled and not answered", s.seed, path)
		return true
	})
	must.Eq(s.t, 0, s.cancelled.Load(), must.Sprint("seed ", s.seed))
	for _, cause := range []cutCause{cutCallerLeft, cutBroken, cutShutdown} {
		cut := s.server.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="` + string(cause) + `"}`)
		must.Eq(s.t, 0, cut.Get(), must.Sprint("seed ", s.seed))
	}
}

func TestChangingLimitsCutNoRequestAndCloseNoConnectionEarly(t *testing.T) {
	idleEnds, openVersions := 0, 0
	for seed := range uint64(seriesSeeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newSeries(t, seed)
			s.run()
			idleEnds += int(s.idleEnds.Load())
			openVersions += int(s.openVersions.Load())
		})
	}
	must.Greater(t, seriesSeeds, idleEnds, must.Sprint("too few connections were closed while idle"))
	must.Greater(t, seriesSeeds, openVersions, must.Sprint("too few versions came into force during requests"))
	t.Logf("%d connections closed while idle, %d versions during requests", idleEnds, openVersions)
}
