package relay

import (
	"net"
	"net/netip"
	"sync"
)

// maxDatagram is the largest UDP datagram in bytes.
const maxDatagram = 64 << 10

// UDP relays the datagrams for one target. A sender's datagrams reach the target
// from a socket of their own, so that the answers find the way back.
type UDP struct {
	cuts   *Cuts
	target netip.AddrPort
	side   Side
	sideOf func(netip.AddrPort) Side
	front  *net.UDPConn

	mu    sync.Mutex
	backs map[netip.AddrPort]*net.UDPConn
}

// ListenUDP relays what arrives at addr to the target, which is on the given
// side. sideOf tells a sender's side by its address.
func ListenUDP(cuts *Cuts, addr string, target string, side Side, sideOf func(netip.AddrPort) Side) (*UDP, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	u := &UDP{cuts: cuts, target: to, side: side, sideOf: sideOf, front: front, backs: make(map[netip.AddrPort]*net.UDPConn)}
	go u.forward()
	return u, nil
}

// forward passes on what senders send to the target.
func (u *UDP) forward() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := u.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if u.cuts.Severed(u.sideOf(from), u.side) {
			continue
		}
		if back := u.back(from); back != nil {
			_, _ = back.Write(buf[:n]) // a lost datagram is part of the game
		}
	}
}

// back returns the socket that stands for a sender, or nil when there is none to
// be had.
func (u *UDP) back(from netip.AddrPort) *net.UDPConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c := u.backs[from]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(u.target))
	if err != nil {
		return nil
	}
	u.backs[from] = c
	go u.answer(c, from)
	return c
}

// answer passes on what the target sends back to one sender.
func (u *UDP) answer(c *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil && !u.open(to) {
			return
		}
		if err != nil || u.cuts.Severed(u.side, u.sideOf(to)) {
			continue
		}
		_, _ = u.front.WriteToUDPAddrPort(buf[:n], to) // a lost datagram is part of the game
	}
}

// open reports whether a sender's socket is still in use. While the target is
// down, reads fail but the socket stays good.
func (u *UDP) open(from netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.backs[from] != nil
}

// Close ends the relay.
func (u *UDP) Close() error {
	err := u.front.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for from, c := range u.backs {
		delete(u.backs, from)
		_ = c.Close() // nothing is left to lose
	}
	return err
}
