package callers

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	http10Get       = "GET /broken HTTP/1.0\r\n\r\n"
	http10KeepAlive = "GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
)

// longBody is more than is buffered before a response's turn.
var longBody = strings.Repeat("x", 3*maxBuffered)

// breakOff answers with longBody, whose length it states for /whole only, and breaks off for /broken.
func breakOff(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/whole" {
		w.Header().Set("Content-Length", strconv.Itoa(len(longBody)))
	}
	_, _ = io.WriteString(w, longBody)
	_ = http.NewResponseController(w).Flush()
	if r.URL.Path == "/broken" {
		panic(http.ErrAbortHandler)
	}
}

// Guards against a truncated response that an HTTP/1.0 caller takes for a whole one, since its end is
// the connection's end.
func TestTruncatedResponseOfHTTP10EndsWithAReset(t *testing.T) {
	for name, request := range map[string]string{
		"alone":                         http10Get,
		"behind others":                 http10KeepAlive + http10KeepAlive + http10Get,
		"while a body is sent":          "POST /broken HTTP/1.0\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", 900000),
		"with bytes behind":             http10Get + http10Get,
		"with keep-alive":               "GET /broken HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"with keep-alive, bytes behind": "GET /broken HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + http10Get,
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, breakOff)
			c, br := dial(t, addr)
			go func() { _, _ = io.WriteString(c, request) }() // the server may not read all of it
			for range strings.Count(request, "/whole") {
				_, body := readResponse(t, br)
				must.Eq(t, len(longBody), len(body))
			}
			resp, err := http.ReadResponse(br, nil)
			must.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprintf("%d bytes", len(got)))
		})
	}
}

// A process that ends closes its connections too.
func TestResponseOfHTTP10ThatIsCutByTheServersEndIsReset(t *testing.T) {
	begun := make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, longBody)
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-r.Context().Done()
	})
	c, br := dial(t, addr)
	send(t, c, http10Get)
	<-begun
	must.NoError(t, s.Close())
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Whole responses end with a close, also if the caller sends more than the server reads.
func TestWholeResponseOfHTTP10EndsWithAClose(t *testing.T) {
	for name, behind := range map[string]string{"alone": "", "with bytes behind": http10Get} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, longBody)
			})
			c, br := dial(t, addr)
			send(t, c, http10Get+behind)
			_, body := readResponse(t, br)
			must.Eq(t, len(longBody), len(body))
		})
	}
}
