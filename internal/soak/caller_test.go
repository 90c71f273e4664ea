package soak

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// nodeThatWrites is a node that writes what it is told to each of its connections, after a
// request has come, and closes it.
func nodeThatWrites(t *testing.T, said string) *caller {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, ln.Close()) })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 1)
		_, _ = conn.Read(buf) // a caller that has left shows in what it notes
		_, _ = io.WriteString(conn, said)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // unread bytes would reset the connection
		_ = conn.Close()
	}()
	return &caller{addr: ln.Addr().String()}
}

// Guards against a caller that doesn't tell answers that are whole, broke off after their head and never began apart.
func TestCallerNotesWhereItsConnectionEnds(t *testing.T) {
	from := nodeThatWrites(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nha\r\n")
	var batch []*Request
	for _, id := range []string{"a", "b", "c"} {
		batch = append(batch, &Request{ID: id, Method: http.MethodGet, Path: "/status/" + id, Wait: callerWait, Gap: time.Millisecond})
	}
	from.exchange(batch...)
	a, b, c := batch[0], batch[1], batch[2]
	must.Eq(t, http.StatusOK, a.Status)
	must.True(t, a.Headed)
	must.False(t, a.Behind)
	must.Eq(t, 0, b.Status)
	must.True(t, b.Headed)
	must.Eq(t, io.ErrUnexpectedEOF.Error(), b.End)
	must.False(t, c.Headed)
	must.True(t, c.Behind)
	must.Eq(t, "a", c.First)
	must.False(t, c.Done.IsZero())
}
