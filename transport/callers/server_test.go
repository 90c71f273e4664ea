package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// startServer serves a handler on loopback and returns the server and its address.
func startServer(t *testing.T, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	return startBoundedServer(t, 0, h)
}

// startBoundedServer is startServer with a bound on the open connections.
func startBoundedServer(t *testing.T, maxConnections int, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	s := New(Config{
		MaxConnections: maxConnections,
		Handler:        h,
		PipelineDepth:  4,
		Limits: func() Limits {
			return Limits{HeaderBytes: 1 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
		},
		RequestID: func(h map[string][]string) string { return http.Header(h).Get("X-Request-Id") },
		Metrics:   metrics.NewSet(),
		Logger:    log.NewNopLogger(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(b)
}

func TestPipelinedRequestsAreHandledConcurrentlyAndAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second // returns only once the second request is being handled
		} else {
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	_, one := readResponse(t, br)
	_, two := readResponse(t, br)
	must.Eq(t, []string{"/1", "/2"}, []string{one, two})
}

func TestNonRepeatableRequestWaitsForEarlierResponses(t *testing.T) {
	var running atomic.Int32
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, 1, running.Add(1))
		time.Sleep(20 * time.Millisecond)
		running.Add(-1)
		_, _ = io.Copy(w, r.Body)
	})
	c, br := dial(t, addr)
	post := "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	send(t, c, get("/1")+post+post)
	_, _ = readResponse(t, br)
	_, two := readResponse(t, br)
	_, three := readResponse(t, br)
	must.Eq(t, "abc abc", two+" "+three)
}

func TestNoRequestIsHandledAfterAResponseThatClosesTheConnection(t *testing.T) {
	var posts atomic.Int32
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Add(1)
		}
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "one")
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	resp, body := readResponse(t, br)
	must.True(t, resp.Close)
	must.Eq(t, "one", body)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 0, posts.Load())
}

func TestCallerThatDisconnectsCancelsItsRequest(t *testing.T) {
	for name, request := range map[string]string{
		"with a request behind it":             get("/1") + get("/2"),
		"after a body":                         "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"on a connection that ends with it":    "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"on such a connection, after a body":   "POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
		"on such a connection, with more sent": "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/2"),
		"with HTTP/1.0":                        "GET /1 HTTP/1.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			begun, gone := make(chan struct{}, 2), make(chan struct{}, 2)
			_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				begun <- struct{}{}
				<-r.Context().Done()
				gone <- struct{}{}
			})
			c, _ := dial(t, addr)
			send(t, c, request)
			<-begun
			must.NoError(t, c.Close())
			<-gone
		})
	}
}

func TestCallerThatDisconnectsDuringAShutdownCancelsItsRequest(t *testing.T) {
	begun, gone := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(gone)
	})
	c, _ := dial(t, addr)
	s.DisableKeepAlive()
	send(t, c, get("/1"))
	<-begun
	must.NoError(t, c.Close())
	<-gone
}

func TestCallerThatResetsItsConnectionCancelsItsRequest(t *testing.T) {
	begun, gone := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(gone)
	})
	c, _ := dial(t, addr)
	send(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-begun
	must.NoError(t, c.(*net.TCPConn).SetLinger(0)) // Close resets the connection
	must.NoError(t, c.Close())
	<-gone
}

func TestBytesAfterTheLastRequestDoNotTruncateItsResponse(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	c, br := dial(t, addr)
	send(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-begun
	send(t, c, strings.Repeat(get("/2"), 1000))
	close(release)
	resp, body := readResponse(t, br)
	must.True(t, resp.Close)
	must.Eq(t, "whole", body)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

func TestResponseFraming(t *testing.T) {
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		method  string
		want    string
		chunked bool
	}{
		"short":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") }, "GET", "abc", false},
		"empty":       {func(http.ResponseWriter, *http.Request) {}, "GET", "", false},
		"head":        {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "7") }, "HEAD", "", false},
		"no content":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, "GET", "", false},
		"flushed":     {flushed, "GET", "abcdef", true},
		"with length": {withLength, "GET", strings.Repeat("x", 100<<10), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, tc.handler)
			c, br := dial(t, addr)
			for range 2 { // the connection is kept open
				send(t, c, tc.method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(br, &http.Request{Method: tc.method})
				must.NoError(t, err)
				b, err := io.ReadAll(resp.Body)
				must.NoError(t, err)
				must.Eq(t, tc.want, string(b))
				must.Eq(t, tc.chunked, len(resp.TransferEncoding) > 0)
			}
		})
	}
}

func flushed(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "abc")
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, "def")
}

func withLength(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(100<<10))
	for range 100 {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<10))
	}
}

func TestTruncatedResponseIsDetectable(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "abc")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"short of its length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "abc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, h)
			c, br := dial(t, addr)
			send(t, c, get("/"))
			resp, err := http.ReadResponse(br, nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			must.Error(t, err)
		})
	}
}

func TestMalformedRequestsAreRejectedAndTheServerKeepsServing(t *testing.T) {
	_, addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"garbage":      {"\x00\x01\x02\r\n\r\n", 400},
		"no host":      {"GET / HTTP/1.1\r\n\r\n", 400},
		"bad header":   {"GET / HTTP/1.1\r\nHost: h\r\nX y: 1\r\n\r\n", 400},
		"two lengths":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"large header": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			c, br := dial(t, addr)
			send(t, c, tc.text)
			resp, _ := readResponse(t, br)
			must.Eq(t, tc.status, resp.StatusCode)
			must.True(t, resp.Close)
		})
	}
}

func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	idle, idleReader := dial(t, addr)
	_ = idle
	c, br := dial(t, addr)
	send(t, c, get("/"))
	<-begun
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	_, err := idleReader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	close(release)
	resp, body := readResponse(t, br)
	must.Eq(t, "whole", body)
	must.True(t, resp.Close)
	must.NoError(t, c.Close())
	must.NoError(t, idle.Close())
	must.NoError(t, <-ended)
}

func TestRequestCancelledAtTheEndOfAShutdownIsAnswered(t *testing.T) {
	begun := make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		w.WriteHeader(http.StatusBadGateway)
	})
	c, br := dial(t, addr)
	send(t, c, get("/"))
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, s.Shutdown(ctx))
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.True(t, resp.Close)
}

func TestReadingAnExpectedBodySendsContinue(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c, br := dial(t, addr)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	line, err := br.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 100 Continue\r\n", line)
	_, _ = br.ReadString('\n')
	send(t, c, "abc")
	_, body := readResponse(t, br)
	must.Eq(t, "abc", body)
}

// Guards against a node that, while it shuts down, closes connections after a
// response although it handles pipelined requests behind it, and so cancels those.
func TestShutdownAnswersAllPipelinedRequests(t *testing.T) {
	begun, release := make(chan struct{}, 3), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2")+get("/3"))
	for range 3 {
		<-begun
	}
	s.DisableKeepAlive()
	close(release)
	for _, want := range []string{"/1", "/2", "/3"} {
		resp, body := readResponse(t, br)
		must.Eq(t, want, body)
		must.Eq(t, want == "/3", resp.Close, must.Sprint("only the last response must close the connection"))
	}
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

func TestConnectionClosesWithItsNextResponseDuringAShutdown(t *testing.T) {
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	resp, _ := readResponse(t, br)
	must.False(t, resp.Close)
	s.DisableKeepAlive()
	send(t, c, get("/2"))
	resp, body := readResponse(t, br)
	must.Eq(t, "/2", body)
	must.True(t, resp.Close)
}

func TestRequestBehindTheFinalResponseDoesNotTruncateIt(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		<-release
		_, _ = io.WriteString(w, " rest")
	})
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	<-begun
	send(t, c, get("/2"))
	time.Sleep(20 * time.Millisecond) // whether the request was read or not, the response must stay complete
	close(release)
	_, body := readResponse(t, br)
	must.Eq(t, "first rest", body)
	must.Eq(t, 0, len(begun))
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.all.String(), text)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second)), must.Sprint(what))
}

func TestCutRequestsAreCountedAndLogged(t *testing.T) {
	for name, test := range map[string]struct {
		end   func(s *Server, caller net.Conn, release chan<- bool)
		cause cutCause
	}{
		"handler that breaks off": {func(_ *Server, _ net.Conn, release chan<- bool) { release <- true }, cutBroken},
		"caller that leaves":      {func(_ *Server, caller net.Conn, _ chan<- bool) { _ = caller.Close() }, cutCallerLeft},
		"end of a shutdown": {func(s *Server, _ net.Conn, release chan<- bool) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var cut *CutError
			must.True(t, errors.As(s.Shutdown(ctx), &cut))
			must.Eq(t, 1, cut.Requests)
			release <- false
		}, cutShutdown},
	} {
		t.Run(name, func(t *testing.T) {
			begun, release := make(chan struct{}), make(chan bool)
			s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if test.cause == cutBroken {
					must.NoError(t, http.NewResponseController(w).Flush())
				}
				close(begun)
				cancelled := r.Context().Done()
				if test.cause == cutShutdown {
					cancelled = nil // the handler ignores the cancellation
				}
				select {
				case broken := <-release:
					if broken {
						panic(http.ErrAbortHandler)
					}
				case <-cancelled:
					panic(http.ErrAbortHandler)
				}
			})
			out := new(logBuffer)
			s.cfg.Logger = log.NewLogfmtLogger(log.NewSyncWriter(out))
			counted := s.cfg.Metrics.GetOrCreateCounter(`jacinthgate_callers_cut_total{cause="` + string(test.cause) + `"}`)
			c, _ := dial(t, addr)
			send(t, c, "GET /asked HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n\r\n")
			<-begun
			test.end(s, c, release)
			eventually(t, "the cut is counted", func() bool { return counted.Get() == 1 })
			if test.cause != cutCallerLeft {
				line := "event=request_cut request=id-1 path=/asked cause=" + string(test.cause)
				eventually(t, "the cut is logged", func() bool { return out.contains(line) })
			}
			must.False(t, out.contains("caller-left"))
		})
	}
}

// acceptUnserved returns a connection of the server whose serve goroutine isn't started, with the
// caller's end and its reader.
func acceptUnserved(t *testing.T, s *Server) (*conn, net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	caller, br := dial(t, l.Addr().String())
	raw, err := l.Accept()
	must.NoError(t, err)
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, caller, br
}

func TestRequestInTheReceiveQueueIsAnsweredDuringAShutdown(t *testing.T) {
	s, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	c, caller, br := acceptUnserved(t, s)
	send(t, caller, get("/"))
	s.DisableKeepAlive()
	s.closeIdle()
	go c.serve()
	resp, body := readResponse(t, br)
	must.Eq(t, "whole", body)
	must.True(t, resp.Close)
}

func TestRequestInTheReceiveQueueIsAnsweredAfterTheIdleTimeout(t *testing.T) {
	s, _ := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	c, caller, br := acceptUnserved(t, s)
	send(t, caller, get("/"))
	s.cfg.Limits = func() Limits { return Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Nanosecond} }
	go c.serve()
	_, body := readResponse(t, br)
	must.Eq(t, "whole", body)
}

func TestRequestThatWasReadIsNotCancelledByAShutdown(t *testing.T) {
	s, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(50 * time.Millisecond):
		}
		_, _ = io.WriteString(w, "whole")
	})
	s.DisableKeepAlive()
	c, caller, br := acceptUnserved(t, s)
	send(t, caller, get("/"))
	x, err := c.next()
	must.NoError(t, err)
	s.closeIdle()
	go c.start(x)
	_, body := readResponse(t, br)
	must.Eq(t, "whole", body)
}

func TestShutdownDoesNotResetAConnectionAfterItsLastResponse(t *testing.T) {
	s, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	s.DisableKeepAlive()
	c, br := dial(t, addr)
	send(t, c, get("/"))
	_, _ = readResponse(t, br)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	s.closeIdle()
	time.Sleep(20 * time.Millisecond) // if the connection were closed for reading, the sends below would be reset
	for range 3 {
		send(t, c, get("/behind"))
		time.Sleep(5 * time.Millisecond)
	}
}
