package relay

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// TCP relays the connections to one target. A connection across a cut stands
// still, as it does when packets are lost, and goes on after the cut.
type TCP struct {
	cuts   *Cuts
	target string
	side   Side
	sideOf func(netip.AddrPort) Side
	ln     net.Listener

	// delay is added to each piece that is passed on, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent are the connections that carry nothing more.
	silent map[net.Conn]bool
}

// Silence lets all connections carry nothing more, for good and without a reset. New ones are
// relayed as before.
func (t *TCP) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		t.silent[c] = true
	}
}

func (t *TCP) isSilent(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent[c]
}

// SetDelay adds a delay to each piece that is passed on, either way.
func (t *TCP) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// Reset resets all connections. New ones are relayed as before.
func (t *TCP) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // its end is then a reset; it may be closed already
		}
		delete(t.conns, c)
		_ = c.Close() // likewise
	}
}

// ListenTCP relays connections at addr to a target on the given side. sideOf
// tells a caller's side by its address.
func ListenTCP(cuts *Cuts, addr, target string, side Side, sideOf func(netip.AddrPort) Side) (*TCP, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &TCP{cuts: cuts, target: target, side: side, sideOf: sideOf, ln: ln, conns: make(map[net.Conn]bool), silent: make(map[net.Conn]bool)}
	go t.accept()
	return t, nil
}

func (t *TCP) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

// stallCheck is the time between two looks whether a cut has healed.
const stallCheck = 20 * time.Millisecond

// await waits while the caller's side is severed. It reports false once the
// connection is closed.
func (t *TCP) await(c net.Conn, from Side) bool {
	for t.cuts.Severed(from, t.side) {
		if !t.known(c) {
			return false
		}
		time.Sleep(stallCheck)
	}
	return true
}

func (t *TCP) known(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[c]
}

func (t *TCP) keep(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
}

func (t *TCP) drop(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	delete(t.silent, c)
	_ = c.Close() // it may be closed already
}

func (t *TCP) serve(c net.Conn) {
	t.keep(c)
	defer t.drop(c)
	from := t.sideOf(c.RemoteAddr().(*net.TCPAddr).AddrPort())
	if !t.await(c, from) {
		return
	}
	up, err := net.Dial("tcp", t.target)
	if err != nil {
		return
	}
	t.keep(up)
	defer t.drop(up)
	var wg sync.WaitGroup
	wg.Go(func() { t.copy(up, c, from) })
	wg.Go(func() { t.copy(c, up, from) })
	wg.Wait()
}

// copy passes bytes on, and holds them back across a cut. A stream's end is
// passed on; a failure ends both directions. On a silent connection neither is.
func (t *TCP) copy(dst, src net.Conn, from Side) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := src.Read(buf)
		if n > 0 && !t.pass(dst, src, buf[:n], from) {
			break
		}
		if err != nil && t.isSilent(src) {
			return // the other side ends the connection itself
		}
		if err == io.EOF {
			closeWrite(dst)
			return
		}
		if err != nil {
			break
		}
	}
	t.drop(src)
	t.drop(dst)
}

// pass writes bytes once no cut is in the way.
func (t *TCP) pass(dst, src net.Conn, b []byte, from Side) bool {
	time.Sleep(time.Duration(t.delay.Load()))
	if !t.await(src, from) {
		return false
	}
	if t.isSilent(src) {
		return true // lost
	}
	_, err := dst.Write(b)
	return err == nil
}

// closeWrite passes the end of a stream on.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // the other side may be gone
	}
}

// Close ends the relay and its connections.
func (t *TCP) Close() error {
	err := t.ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		delete(t.conns, c)
		_ = c.Close() // nothing is left to lose
	}
	return err
}
