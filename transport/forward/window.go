package forward

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// windowChecks is the number of checks of a connection within its timeout for unacknowledged bytes.
const windowChecks = 4

// windowWatch checks a connection while a request's body is sent: its server may stop reading
// without being lost.
type windowWatch struct {
	conn *trackedConn

	mu     sync.Mutex
	window sockopt.ClosedWindow
	timer  *time.Timer
	ended  bool
}

// watchWindow starts checking a connection with the given timeout for unacknowledged bytes.
func watchWindow(conn *trackedConn, timeout time.Duration) *windowWatch {
	w := &windowWatch{conn: conn, window: sockopt.ClosedWindow{Conn: conn.Conn, Timeout: timeout}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout/windowChecks, w.check)
	return w
}

func (w *windowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if w.window.Check(time.Now()) {
		w.conn.lose(&net.OpError{Op: "write", Net: "tcp", Addr: w.conn.RemoteAddr(), Err: syscall.ETIMEDOUT})
		return
	}
	w.timer.Reset(w.window.Timeout / windowChecks)
}

// end ends the checks. The connection is as it was before.
func (w *windowWatch) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.window.Resume()
}
