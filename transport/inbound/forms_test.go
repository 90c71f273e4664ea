package inbound

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/pace"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
	"github.com/jacinthgate/jacinthgate/transport/headpack"
)

// form is a response as a backend server writes it to the connection.
type form struct {
	raw      string
	bytes    int  // length of the body
	closes   bool // the backend server closes the connection after the response
	bytewise bool // each byte is written separately
}

// chunked returns a body of two chunks and the last chunk, without the final CRLF, so that
// trailers can follow.
func chunked(a, b string) string {
	chunk := func(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }
	return chunk(a) + chunk(b) + "0\r\n"
}

// forms returns responses in all forms that HTTP/1.1 allows.
func forms() map[string]form {
	const ok = "HTTP/1.1 200 OK\r\n"
	large := strings.Repeat("x", 300<<10)
	length := func(s string) string { return "Content-Length: " + strconv.Itoa(len(s)) + "\r\n\r\n" + s }
	return map[string]form{
		"no body":              {raw: ok + length("")},
		"no content":           {raw: "HTTP/1.1 204 No Content\r\n\r\n"},
		"length":               {raw: ok + length("part"), bytes: 4},
		"length, slow":         {raw: ok + length("part"), bytes: 4, bytewise: true},
		"length, closing":      {raw: ok + "Connection: close\r\n" + length("part"), bytes: 4, closes: true},
		"length, large":        {raw: ok + length(large), bytes: len(large)},
		"chunked":              {raw: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked("pa", "rt") + "\r\n", bytes: 4},
		"chunked, slow":        {raw: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked("pa", "rt") + "\r\n", bytes: 4, bytewise: true},
		"chunked, closing":     {raw: ok + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("pa", "rt") + "\r\n", bytes: 4, closes: true},
		"chunked, large":       {raw: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked(large, large) + "\r\n", bytes: 2 * len(large)},
		"trailers":             {raw: ok + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("pa", "rt") + "X-Sum: 1\r\n\r\n", bytes: 4},
		"trailers, unknown":    {raw: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked("pa", "rt") + "X-Sum: 1\r\n\r\n", bytes: 4, bytewise: true},
		"to the end":           {raw: ok + "\r\npart", bytes: 4, closes: true},
		"to the end, slow":     {raw: ok + "\r\npart", bytes: 4, closes: true, bytewise: true},
		"older version":        {raw: "HTTP/1.0 200 OK\r\n\r\npart", bytes: 4, closes: true},
		"interim before":       {raw: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + length("part"), bytes: 4},
		"late answer before":   {raw: ok + "X-Late: 1\r\n" + length("late") + ok + length("part"), bytes: 4},
		"late chunked before":  {raw: ok + "X-Late: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("la", "te") + "\r\n" + ok + length("part"), bytes: 4, bytewise: true},
		"late answer behind":   {raw: ok + length("part") + ok + "X-Late: 1\r\n" + length("late"), bytes: 4},
		"body like a head":     {raw: ok + length("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), bytes: 27},
		"chunks like a head":   {raw: ok + "Transfer-Encoding: chunked\r\n\r\n" + chunked("GET / HTTP/1.1\r\n", "A: b\r\n\r\n") + "\r\n", bytes: 24},
		"body like two frames": {raw: ok + length("\x01\x05\x02\x03part"), bytes: 8},
	}
}

// serveForm sends the same response to each request on a connection.
func serveForm(c net.Conn, f form) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		size := len(f.raw)
		if f.bytewise {
			size = 1
		}
		for rest := []byte(f.raw); len(rest) > 0; rest = rest[size:] {
			if _, err := c.Write(rest[:size]); err != nil {
				return
			}
		}
		if f.closes {
			return
		}
	}
}

// startForm starts a backend server that sends the same response to each request, and
// returns its address.
func startForm(t *testing.T, f form) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveForm(c, f)
		}
	}()
	return l.Addr().String()
}

// Whatever the form of a response, the entry node must see its end once the backend server
// has sent all of it, and the connections must remain usable for the next request.
func TestAnswersOfEveryFormArriveWhole(t *testing.T) {
	for name, f := range forms() {
		for _, packs := range []bool{false, true} {
			for _, kind := range []model.ClassKind{model.KindInteractive, model.KindBulk} {
				t.Run(name+"/"+string(kind)+"/packs="+strconv.FormatBool(packs), func(t *testing.T) { testForm(t, f, packs, kind) })
			}
		}
	}
}

func testForm(t *testing.T, f form, packs bool, kind model.ClassKind) {
	g, i := newGate(t, attempt.NewRuns(), 0, nil)
	i.Addr = startForm(t, f)
	toBackend := forward.DefaultClientConfig()
	toBackend.Foreign = func(_ *http.Request, resp *http.Response) bool { return resp.Header["X-Late"] != nil }
	g.cfg.Backend = forward.NewClient(toBackend)
	defer g.cfg.Backend.CloseIdleConnections()
	g.cfg.ResponseShaper = pace.New(pace.DefaultConfig(1e9))
	server := httptest.NewUnstartedServer(g)
	server.Listener = headpack.Listener{Listener: server.Listener}
	server.Start()
	defer server.Close()
	cfg := forward.DefaultClientConfig()
	cfg.PackHeads = packs
	entry := forward.NewClient(cfg)
	defer entry.CloseIdleConnections()
	for range 3 {
		in := requestTo(i, kind)
		resp, err := forward.Send(entry, forward.NewRequest(t.Context(), in, "http", server.Listener.Addr().String(), nil, 0), nil)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, f.bytes, len(body))
		must.False(t, bytes.Contains(body, []byte("late")))
		must.Eq(t, 0, g.Load().Used)
	}
}
