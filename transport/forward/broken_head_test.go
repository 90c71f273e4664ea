package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// interimRecorder records the statuses of the interim responses that are passed on.
type interimRecorder struct {
	http.ResponseWriter
	statuses []int
}

// WriteHeader implements http.ResponseWriter.
func (r *interimRecorder) WriteHeader(status int) { r.statuses = append(r.statuses, status) }

// checkNoResponse checks that what a server sends is no response: the request may have run, nothing of it
// reaches the caller but the interim responses before it, and the connection isn't used again.
func checkNoResponse(t *testing.T, answer string) {
	t.Helper()
	addr, conns := scriptedServer(t, answer, false)
	c := NewClient(DefaultClientConfig())
	defer c.CloseIdleConnections()
	for range 2 {
		w := &interimRecorder{ResponseWriter: httptest.NewRecorder()}
		resp, err := Send(c, NewRequest(t.Context(), httptest.NewRequest("GET", "/", nil), "http", addr, nil, 0), w)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(io.LimitReader(resp.Body, int64(len(answer))))
			must.Error(t, err, must.Sprintf("status %d, %v with %q", resp.StatusCode, resp.Header, body))
		}
		var failed *SendError
		must.True(t, !errors.As(err, &failed) || failed.Sent)
		for _, status := range w.statuses {
			must.Eq(t, http.StatusEarlyHints, status)
		}
	}
	must.Eq(t, 2, conns.Load())
}

// Guards against a status that isn't one, and passes for that of an interim response: what follows would
// be read as the response.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-01", "20", "2000", "two", ""} {
		for name, behind := range map[string]string{
			"alone":                      "Content-Length: 4\r\n\r\nbody",
			"without a length":           "\r\nbody",
			"with another one in it":     "Content-Length: " + strconv.Itoa(len(completeResponse)) + "\r\n\r\n" + completeResponse,
			"with another one behind it": "Content-Length: 0\r\n\r\n" + completeResponse,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				checkNoResponse(t, "HTTP/1.1 "+status+" Trouble\r\n"+behind)
				checkNoResponse(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" Trouble\r\n"+behind)
			})
		}
	}
}

// Whatever status a server gives is passed on, also one that no standard names.
func TestStatusFrom200OnIsPassedOn(t *testing.T) {
	for _, status := range []string{"200", "299", "404", "500", "599", "600", "999"} {
		addr, conns := scriptedServer(t, strings.Replace(completeResponse, "200", status, 1), false)
		c := NewClient(DefaultClientConfig())
		for range 2 {
			resp, err := post(t.Context(), c, addr, nil, 0)
			must.NoError(t, err)
			must.Eq(t, status, resp.Status[:3])
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "well", string(body))
		}
		must.Eq(t, 1, conns.Load())
		c.CloseIdleConnections()
	}
}
