package quic

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Stats counts what went over the wire: UDP payloads, without the headers of
// UDP and IP.
type Stats struct {
	// BytesSent and PacketsSent count what was sent since the start.
	BytesSent, PacketsSent uint64
	// BytesReceived and PacketsReceived count what was received.
	BytesReceived, PacketsReceived uint64
}

// socket counts the packets of a UDP socket. It deliberately does not embed
// *net.UDPConn: with only the methods below QUIC sends and receives packet by
// packet through here, which the control traffic's rate allows.
type socket struct {
	udp *net.UDPConn

	bytesSent, packetsSent         atomic.Uint64
	bytesReceived, packetsReceived atomic.Uint64
}

func (s *socket) stats() Stats {
	return Stats{
		BytesSent:       s.bytesSent.Load(),
		PacketsSent:     s.packetsSent.Load(),
		BytesReceived:   s.bytesReceived.Load(),
		PacketsReceived: s.packetsReceived.Load(),
	}
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := s.udp.ReadFrom(b)
	if err == nil {
		s.bytesReceived.Add(uint64(n))
		s.packetsReceived.Add(1)
	}
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := s.udp.WriteTo(b, addr)
	if err == nil {
		s.bytesSent.Add(uint64(n))
		s.packetsSent.Add(1)
	}
	return n, err
}

// Close implements net.PacketConn.
func (s *socket) Close() error { return s.udp.Close() }

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return s.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(t time.Time) error { return s.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error { return s.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *socket) SetWriteDeadline(t time.Time) error { return s.udp.SetWriteDeadline(t) }

// SetReadBuffer lets QUIC size the socket's buffer.
func (s *socket) SetReadBuffer(bytes int) error { return s.udp.SetReadBuffer(bytes) }

// SetWriteBuffer lets QUIC size the socket's buffer.
func (s *socket) SetWriteBuffer(bytes int) error { return s.udp.SetWriteBuffer(bytes) }

// SyscallConn lets QUIC forbid the fragmentation of its packets.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }
