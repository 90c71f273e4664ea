package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Parameters of a connection that is refused.
const (
	// refusedWait is how long a refused caller may take to read the answer.
	refusedWait = 250 * time.Millisecond
	// maxRefused bounds the refused connections that are waited for; further
	// ones are closed at once.
	maxRefused = 64
	// maxOperatorConns bounds the connections of operators.
	maxOperatorConns = 128
)

// cappedListener accepts callers' connections up to a bound. One beyond it is
// told that its request was not run, so that the caller can go to another node
// at once instead of waiting here for its timeout.
type cappedListener struct {
	net.Listener
	max     int64
	open    atomic.Int64
	waiting atomic.Int64
	refused *metrics.Counter
}

func newCappedListener(l net.Listener, bound int, set *metrics.Set) *cappedListener {
	c := &cappedListener{Listener: l, max: int64(bound)}
	c.refused = set.NewCounter("jacinthgate_caller_connections_refused_total")
	set.NewGauge("jacinthgate_caller_connections", func() float64 { return float64(c.open.Load()) })
	return c
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &cappedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

// refuse answers without reading the request. Closing a connection with unread
// bytes may cost the caller the answer, so it is read for a moment.
func (l *cappedListener) refuse(c net.Conn) {
	l.refused.Inc()
	if l.waiting.Add(1) > maxRefused {
		l.waiting.Add(-1)
		_ = c.Close() // nothing was read, so nothing was run
		return
	}
	go func() {
		defer l.waiting.Add(-1)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(refusedWait)) // without one the connection is broken already
		if _, err := http.ReadRequest(bufio.NewReader(io.LimitReader(c, maxRefusedHead))); err != nil {
			return
		}
		_, _ = c.Write(tooManyConnections) // the caller may be gone
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()            // likewise
			_, _ = io.Copy(io.Discard, t) // until the caller closes, or the deadline
		}
	}()
}

// maxRefusedHead bounds what is read of a refused request's head, in bytes.
const maxRefusedHead = 64 << 10

// tooManyConnections is the response on a refused connection.
var tooManyConnections = forward.NotRun(outcome.ReasonShed, "the node has too many connections").Bytes()

// cappedConn counts itself out once when it is closed.
type cappedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// NetConn returns the connection below.
func (c *cappedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection for writing.
func (c *cappedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}
