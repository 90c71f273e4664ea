package transporttest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// longBody is more than servers buffer of a response.
var longBody = strings.Repeat("x", 192<<10)

const (
	http10Get       = "GET /broken HTTP/1.0\r\n\r\n"
	http10KeepAlive = "GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
)

// answerHTTP10 answers with longBody. It states the length for /whole, and breaks off for /broken.
func answerHTTP10(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/whole" {
		w.Header().Set("Content-Length", strconv.Itoa(len(longBody)))
	}
	_, _ = io.WriteString(w, longBody)
	_ = http.NewResponseController(w).Flush()
	if r.URL.Path == "/broken" {
		panic(http.ErrAbortHandler)
	}
}

// CheckHTTP10 checks that a server ends a response without a length to an HTTP/1.0 caller by a close if
// it is whole, and by a reset if it is truncated: the caller could not tell them apart otherwise. start
// starts the server with a handler; end closes it as the end of the process does.
func CheckHTTP10(t *testing.T, start func(t *testing.T, h http.HandlerFunc) (addr string, end func())) {
	t.Helper()
	const wholeAtTheEnd = "GET /unstated HTTP/1.0\r\n\r\n"
	for name, c := range map[string]struct {
		requests string
		whole    int // responses, from the first on
		broken   bool
	}{
		"truncated":                                {http10Get, 0, true},
		"truncated behind others":                  {http10KeepAlive + http10KeepAlive + http10Get, 2, true},
		"truncated while a body is sent":           {"POST /broken HTTP/1.0\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", 900000), 0, true},
		"truncated, bytes behind":                  {http10Get + http10Get, 0, true},
		"truncated, keep-alive":                    {"GET /broken HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 0, true},
		"truncated, keep-alive, bytes behind":      {"GET /broken HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + http10Get, 0, true},
		"whole":                                    {wholeAtTheEnd, 1, false},
		"whole, bytes behind":                      {wholeAtTheEnd + http10Get, 1, false},
		"whole behind others of a stated length":   {http10KeepAlive + http10KeepAlive + wholeAtTheEnd, 3, false},
		"whole, last of a kept connection's bytes": {http10KeepAlive + "GET /whole HTTP/1.0\r\n\r\n", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := start(t, answerHTTP10)
			caller, br := dialHTTP10(t, addr)
			sent := Send(caller, c.requests)
			for range c.whole {
				got, err := receiveBody(t, br)
				must.NoError(t, err)
				must.Eq(t, len(longBody), got)
			}
			if c.broken {
				got, err := receiveBody(t, br)
				must.ErrorIs(t, sent.Reset(err), syscall.ECONNRESET, must.Sprintf("%d bytes", got))
			}
		})
	}
	t.Run("server ends", func(t *testing.T) {
		begun := make(chan struct{})
		addr, end := start(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, longBody)
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-r.Context().Done()
		})
		caller, br := dialHTTP10(t, addr)
		_, err := io.WriteString(caller, http10Get)
		must.NoError(t, err)
		<-begun
		end()
		_, err = receiveBody(t, br)
		must.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

// Sending is a text that is being sent while a response may already come.
type Sending struct{ ended chan error }

// Send starts to send a text.
func Send(conn net.Conn, text string) *Sending {
	s := &Sending{make(chan error, 1)}
	go func() {
		_, err := io.WriteString(conn, text)
		s.ended <- err
	}()
	return s
}

// Reset returns the error that tells a caller of a reset, given what its last read returned: that of the
// read, or that of the write that has met the reset before it. It must be called once the connection has
// ended.
func (s *Sending) Reset(readErr error) error {
	if writeErr := <-s.ended; readErr == nil && errors.Is(writeErr, syscall.ECONNRESET) {
		return writeErr
	}
	return readErr
}

func dialHTTP10(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// receiveBody reads a response and returns the size of its body.
func receiveBody(t *testing.T, br *bufio.Reader) (int, error) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	return len(body), err
}
