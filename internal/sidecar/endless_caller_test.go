package sidecar

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const (
	// endlessCaller bounds the time in which a node closes the connection of a sender without end: many
	// times the timeouts of its routes and heads.
	endlessCaller = 30 * time.Second
	// endlessCallerMemory bounds what is allocated for such a sender, in bytes: thirty at once fit
	// into the memory of a small host.
	endlessCallerMemory = 4 << 20
	// endlessCallerBytes bounds what it can send, in bytes: the limit of bodies, and the buffers of the
	// kernel on both sides.
	endlessCallerBytes = 1<<20 + 31<<20
)

// sendWithoutEnd sends begin and then piece again and again, until the receiver closes the connection.
func sendWithoutEnd(t *testing.T, addr, begin, piece string, pause time.Duration) (sent int) {
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }() // answers
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(endlessCaller)))
	again := []byte(piece)
	_, err = io.WriteString(conn, begin)
	for err == nil {
		var n int
		n, err = conn.Write(again)
		sent += n
		time.Sleep(pause)
	}
	timeout, ok := err.(net.Error)
	must.False(t, ok && timeout.Timeout(), must.Sprint("the connection is still open"))
	return sent
}

// Guards against callers whose bytes without end are read for as long as they come.
func TestEndlessRequestEndsItsConnection(t *testing.T) {
	f := newFleet(t, 1)
	m := f.nodes[0]
	m.backend.DiscardBodies = true
	line := "Host: " + host + "\r\n" + platformtest.HeaderRequestID + ": x\r\n" + platformtest.HeaderWait + ": 1000\r\n"
	get, post := "GET /status/x HTTP/1.1\r\n"+line, "POST /book/x HTTP/1.1\r\n"+line
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 8<<10)
	chunk := "2000\r\n" + text + "\r\n"
	for name, c := range map[string]struct {
		begin, piece string
		pause        time.Duration
	}{
		"no request at all":    {"", text, 0},
		"empty lines":          {"", strings.Repeat("\r\n", 1000), 0},
		"request line":         {"GET /", text, 0},
		"header line":          {get + "X: ", text, 0},
		"header lines":         {get, "X: " + text[:100] + "\r\n", 0},
		"slow head":            {get, "X: y\r\n", 100 * time.Millisecond},
		"slow request line":    {"GET /", "x", 100 * time.Millisecond},
		"chunks":               {post + chunked, chunk, 0},
		"tiny chunks":          {post + chunked, strings.Repeat("1\r\nx\r\n", 1000), 0},
		"extensions of chunks": {post + chunked, strings.Repeat("1;"+text[:100]+"\r\nx\r\n", 100), 0},
		"chunk line":           {post + chunked + "1;", text, 0},
		"trailers":             {post + chunked + "1\r\nx\r\n0\r\n", "X: " + text[:100] + "\r\n", 0},
		"trailer line":         {post + chunked + "1\r\nx\r\n0\r\nX: ", text, 0},
		"slow body":            {post + "Content-Length: 100000000\r\n\r\n", "x", 100 * time.Millisecond},
		"slow short body":      {post + "Content-Length: 100000\r\n\r\n", "x", 100 * time.Millisecond},
		"slow chunks":          {post + chunked, "1\r\nx\r\n", 100 * time.Millisecond},
		"behind a request":     {get + "\r\n", text, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			sent := sendWithoutEnd(t, m.node.set.Listen.Callers, c.begin, c.piece, c.pause)
			runtime.ReadMemStats(&after)
			must.LessEq(t, endlessCallerMemory, int(after.TotalAlloc-before.TotalAlloc), must.Sprint("bytes allocated"))
			must.LessEq(t, endlessCallerBytes, sent)
		})
	}
}
