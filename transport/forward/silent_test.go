package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// silentServer answers each request until it falls silent: connections that are open then get no answer
// any more, new ones do.
type silentServer struct {
	net.Listener
	generation atomic.Int64
}

func (s *silentServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c, s.generation.Load())
	}
}

func (s *silentServer) serve(c net.Conn, generation int64) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if generation != s.generation.Load() {
			_, _ = io.Copy(io.Discard, br) // until the client closes the connection
			return
		}
		time.Sleep(5 * time.Millisecond) // so that requests at the same time use several connections
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against requests that wait until their deadline one after the other, on connections that have
// all fallen silent.
func TestSilentConnectionsCostOneRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &silentServer{Listener: ln}
	go s.run()
	cfg := DefaultClientConfig()
	cfg.DropSilent = true
	client := NewClient(cfg)
	ask := func(deadline time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/x", nil)
		if err != nil {
			return err
		}
		resp, err := client.RoundTrip(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() { must.NoError(t, ask(time.Minute)) })
	}
	all.Wait()
	s.generation.Add(1)
	must.ErrorIs(t, ask(50*time.Millisecond), context.DeadlineExceeded)
	must.NoError(t, ask(time.Minute))
	must.NoError(t, ask(time.Minute))
}
