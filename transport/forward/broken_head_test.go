package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

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
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 2 {
		w := &interimRecorder{ResponseWriter: httptest.NewRecorder()}
		resp, err := Send(c, NewRequest(ctx, httptest.NewRequest("GET", "/", nil), "http", addr, nil, 0), w)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(io.LimitReader(resp.Body, int64(len(answer))))
			must.Error(t, err, must.Sprintf("status %d, %v with %q", resp.StatusCode, resp.Header, body))
		}
		must.NoError(t, ctx.Err())
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

// Guards against a field whose name isn't one: a framing field would be overlooked, and the framing would
// pass for the body.
func TestFieldNameThatIsNoneIsNoResponse(t *testing.T) {
	for name, field := range map[string]string{
		"blank inside":        "X A: b",
		"blank behind":        "X-A : b",
		"blank, length":       "Content-Length : 4",
		"blank, chunked":      "Transfer-Encoding : chunked",
		"blank, content type": "Content-Type : text/event-stream",
		"tab":                 "X\tA: b",
		"NUL":                 "X\x00A: b",
		"BEL":                 "X\x07A: b",
		"DEL":                 "X\x7fA: b",
		"no ASCII":            "X\xe4A: b",
		"delimiter":           "X(A): b",
		"no name":             ": b",
		"no colon":            "XA",
		"NUL in the value":    "X-A: b\x00",
		"CR in the value":     "X-A: b\rc",
	} {
		t.Run(name, func(t *testing.T) {
			for _, status := range []string{"200 OK", "204 No Content", "500 Internal Server Error", "503 Service Unavailable"} {
				checkNoResponse(t, "HTTP/1.1 "+status+"\r\n"+field+"\r\nContent-Length: 0\r\n\r\n")
			}
			checkNoResponse(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nConnection: close\r\n\r\n4\r\nwell\r\n0\r\n\r\n")
			checkNoResponse(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+completeResponse)
			const chunk = "\r\n4\r\nwell\r\n0\r\n"
			checkNoResponse(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+chunk+field+"\r\n\r\n")
		})
	}
	checkNoResponse(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X A\r\n\r\n4\r\nwell\r\n0\r\n\r\n")
}

// Every name that is a token is passed on.
func TestUnusualFieldNamesArePassedOn(t *testing.T) {
	const name = "X!#$%&'*+.^_`|~9"
	addr, _ := scriptedServer(t, "HTTP/1.1 200 OK\r\n"+name+": b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n"+name+"t: c\r\n\r\n", false)
	resp, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, nil, 0)
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "b", resp.Header.Get(name))
	must.Eq(t, "c", resp.Trailer.Get(name+"t"))
}

// Guards against a response of another protocol, whose framing isn't that of HTTP/1.
func TestOtherVersionIsNoResponse(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.7"} {
		t.Run(version, func(t *testing.T) { checkNoResponse(t, strings.Replace(completeResponse, "HTTP/1.1", version, 1)) })
	}
}

// Guards against chunks that pass for the body: HTTP/1.0 has none, and net/http ignores the field.
func TestChunkedResponseOfHTTP10IsNoResponse(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"
	for name, fields := range map[string]string{
		"alone":            "",
		"with a length":    "Content-Length: 4\r\n",
		"kept open":        "Connection: keep-alive\r\n",
		"behind much else": strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 10),
	} {
		t.Run(name, func(t *testing.T) { checkNoResponse(t, "HTTP/1.0 200 OK\r\n"+fields+chunked) })
	}
}

// Responses of HTTP/1.0 in its own framing are passed on, interim ones before them too.
func TestResponseOfHTTP10IsPassedOn(t *testing.T) {
	for name, response := range map[string]string{
		"length":    "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nwell",
		"to an end": "HTTP/1.0 200 OK\r\n\r\nwell",
		"interim":   "HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nwell",
		"mixed":     "HTTP/1.0 103 Early Hints\r\n\r\n" + completeResponse,
		"long head": "HTTP/1.0 200 OK\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 10) + "\r\nwell",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := scriptedServer(t, response, true)
			resp, err := post(t.Context(), NewClient(DefaultClientConfig()), addr, nil, 0)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "well", string(body))
		})
	}
}
