package callers

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestResponseThatFailsBeforeItsTurnLeavesOthersIntact(t *testing.T) {
	for name, test := range map[string]struct {
		fail   func(w http.ResponseWriter)
		status int
	}{
		"handler that breaks off": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
		"handler that breaks off within its answer": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
		"handler that panics": {func(http.ResponseWriter) { panic("fault") }, http.StatusInternalServerError},
		"answer that is too short": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
		}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			failed := make(chan struct{})
			_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/1":
					<-failed
				case "/2":
					defer close(failed)
					test.fail(w)
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c, br := dial(t, addr)
			send(t, c, get("/1")+get("/2")+get("/3"))
			resp, body := readResponse(t, br)
			must.Eq(t, "200 /1", status(resp)+" "+body)
			resp, _ = readResponse(t, br)
			must.Eq(t, test.status, resp.StatusCode)
			resp, body = readResponse(t, br)
			must.Eq(t, "200 /3", status(resp)+" "+body)
		})
	}
}

func TestFlushBeforeItsTurnDoesNotBlockTheHandler(t *testing.T) {
	flushed, read := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-flushed
			return
		}
		_, _ = io.WriteString(w, "first,")
		must.NoError(t, http.NewResponseController(w).Flush())
		close(flushed)
		<-read // the caller gets the first part while the handler is running
		_, _ = io.WriteString(w, "second")
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	_, _ = readResponse(t, br)
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	part := make([]byte, len("first,"))
	_, err = io.ReadFull(resp.Body, part)
	must.NoError(t, err)
	close(read)
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "first,second", string(part)+string(rest))
}

func status(resp *http.Response) string { return resp.Status[:3] }

func TestReplacedResponseClosesTheConnectionIfTheBodyWasNotRead(t *testing.T) {
	_, addr := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c, br := dial(t, addr)
	send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.True(t, resp.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
