package quic

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Stats holds the traffic counters of a transport. Bytes are those of UDP
// payloads, without the headers of UDP and IP.
type Stats struct {
	// BytesSent and PacketsSent count the traffic sent since the start.
	BytesSent, PacketsSent uint64
	// BytesReceived and PacketsReceived count the traffic received since the start.
	BytesReceived, PacketsReceived uint64
}

// socket wraps a UDP socket and counts its packets. It deliberately does not
// embed *net.UDPConn: with only the methods below, the QUIC library sends and
// receives each packet through ReadFrom and WriteTo instead of in batches. The
// rate of the control traffic is low enough for that.
type socket struct {
	udp *net.UDPConn

	bytesSent, packetsSent         atomic.Uint64
	bytesReceived, packetsReceived atomic.Uint64
}

// stats returns the current counters.
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

// SetReadBuffer lets the QUIC library set the size of the receive buffer.
func (s *socket) SetReadBuffer(bytes int) error { return s.udp.SetReadBuffer(bytes) }

// SetWriteBuffer lets the QUIC library set the size of the send buffer.
func (s *socket) SetWriteBuffer(bytes int) error { return s.udp.SetWriteBuffer(bytes) }

// SyscallConn lets the QUIC library set the don't-fragment option.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }
