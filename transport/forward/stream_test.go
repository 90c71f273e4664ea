package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// When a handler aborts its connection, net/http reuses the connection's buffer. A
// goroutine that still reads the request's body then makes the process panic.
func TestDetachedBodyIsNotReadAfterTheHandlerHasAborted(t *testing.T) {
	closed, ended := make(chan struct{}, 1), make(chan error, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := NewStreamBody(w, r)
		go func() {
			<-closed
			time.Sleep(time.Millisecond) // net/http releases the buffer after it has called ConnState
			_, err := s.Read(make([]byte, 10))
			ended <- err
		}()
		s.Detach(w)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	for range 20 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		must.NoError(t, err)
		must.ErrorIs(t, <-ended, http.ErrBodyReadAfterClose)
		must.NoError(t, c.Close())
	}
}
