package entry

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// Guards against a reset that the write of a request's body meets, so that the read after it returns the end
// of the stream.
func TestOlderConnectionEndsOnlyIfTheOlderSystemClosesIt(t *testing.T) {
	for how, end := range map[string]func(c *net.TCPConn){
		"reset":               resetConn,
		"closed for writing":  func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed, then resets": func(c *net.TCPConn) { _ = c.CloseWrite(); resetConn(c) },
	} {
		t.Run(how, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			b := newTestBed()
			b.cfg.OlderAddr = l.Addr().String()
			b.start(t)
			var caller callerConn
			must.NoError(t, b.proxy.older.connect(t.Context(), &caller))
			defer caller.older.Close()
			accepted, err := l.Accept()
			must.NoError(t, err)
			defer accepted.Close()
			_, err = io.WriteString(accepted, "part")
			must.NoError(t, err)
			end(accepted.(*net.TCPConn))
			for how != "closed for writing" && err == nil {
				_, err = io.WriteString(caller.older, "x")
			}
			got, err := io.ReadAll(caller.older.reader)
			must.Eq(t, "part", string(got))
			must.Eq(t, how == "reset", err != nil)
		})
	}
}
