package quic

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The benchmarks compare this package with TLS over TCP for the design note
// docs/design/transport.md. Byte counts are UDP payloads for QUIC and TLS
// records for TCP; headers and bare TCP acknowledgements are not included.

// endpoint is one end of a connection in a benchmark.
type endpoint interface {
	send(b *testing.B, msg []byte)
	receive(b *testing.B)
	Close() error
}

// benchTransport opens connections and counts their bytes.
type benchTransport interface {
	connect(b *testing.B) (dialled, accepted endpoint)
	bytes() uint64
}

var benchTransports = map[string]func(b *testing.B) benchTransport{
	"quic": func(b *testing.B) benchTransport {
		ca := newAuthority(b)
		return &quicBench{start(b, ca.config(b, "node-a")), start(b, ca.config(b, "node-b"))}
	},
	"tcp": func(b *testing.B) benchTransport {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		b.Cleanup(func() { l.Close() })
		return &tcpBench{cfg: newAuthority(b).config(b, "node-a"), listener: l}
	},
}

type quicBench struct{ a, b *Transport }

type quicEnd struct{ *conn }

func (e quicEnd) send(b *testing.B, msg []byte) { must.NoError(b, e.Send(b.Context(), msg)) }

func (e quicEnd) receive(b *testing.B) {
	_, err := e.Receive(b.Context())
	must.NoError(b, err)
}

func (c *quicBench) connect(b *testing.B) (dialled, accepted endpoint) {
	x, y := connect(b, c.a, c.b)
	return quicEnd{x.(*conn)}, quicEnd{y.(*conn)}
}

func (c *quicBench) bytes() uint64 { return c.a.Stats().BytesSent + c.b.Stats().BytesSent }

type tcpBench struct {
	cfg      Config
	listener net.Listener
	count    atomic.Uint64
}

// countedConn counts the bytes written.
type countedConn struct {
	net.Conn
	count *atomic.Uint64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.count.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

type tcpEnd struct{ *tls.Conn }

func (e tcpEnd) send(b *testing.B, msg []byte) {
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(msg))), msg...)
	_, err := e.Write(frame)
	must.NoError(b, err)
}

func (e tcpEnd) receive(b *testing.B) {
	var size [4]byte
	_, err := io.ReadFull(e, size[:])
	must.NoError(b, err)
	_, err = io.ReadFull(e, make([]byte, binary.BigEndian.Uint32(size[:])))
	must.NoError(b, err)
}

func (c *tcpBench) connect(b *testing.B) (dialled, accepted endpoint) {
	raw, err := net.Dial("tcp", c.listener.Addr().String())
	must.NoError(b, err)
	other, err := c.listener.Accept()
	must.NoError(b, err)
	x := tcpEnd{tls.Client(countedConn{raw, &c.count}, c.cfg.ClientTLS)}
	y := tcpEnd{tls.Server(countedConn{other, &c.count}, c.cfg.ServerTLS)}
	done := make(chan error)
	go func() { done <- y.Handshake() }()
	must.NoError(b, x.Handshake())
	must.NoError(b, <-done)
	return x, y
}

func (c *tcpBench) bytes() uint64 { return c.count.Load() }

// processorTime returns the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake reports the bytes and the CPU time of a handshake, for both
// ends together.
func BenchmarkHandshake(b *testing.B) {
	for name, create := range benchTransports {
		b.Run(name, func(b *testing.B) {
			c := create(b)
			before, cpuBefore, n := c.bytes(), processorTime(b), 0
			for b.Loop() {
				x, y := c.connect(b)
				x.Close()
				y.Close()
				n++
			}
			b.ReportMetric(float64(c.bytes()-before)/float64(n), "bytes/op")
			b.ReportMetric(float64((processorTime(b)-cpuBefore).Microseconds())/float64(n), "cpu-µs/op")
		})
	}
}

// BenchmarkRoundTrip reports the median duration, the bytes and the CPU time of
// a round trip: a message of 64 bytes and a response of the same size.
func BenchmarkRoundTrip(b *testing.B) {
	for name, create := range benchTransports {
		b.Run(name, func(b *testing.B) {
			c := create(b)
			x, y := c.connect(b)
			msg := make([]byte, 64)
			before, cpuBefore := c.bytes(), processorTime(b)
			var times []time.Duration
			for b.Loop() {
				start := time.Now()
				x.send(b, msg)
				y.receive(b)
				y.send(b, msg)
				x.receive(b)
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(c.bytes()-before)/float64(len(times)), "bytes/op")
			b.ReportMetric(float64((processorTime(b)-cpuBefore).Microseconds())/float64(len(times)), "cpu-µs/op")
		})
	}
}

// BenchmarkIdle reports the heap and stack that one end of an idle connection
// uses, without the kernel's buffers, and the bytes that an idle connection
// sends per second.
func BenchmarkIdle(b *testing.B) {
	const connections, settle = 200, 2 * time.Second
	for name, create := range benchTransports {
		b.Run(name, func(b *testing.B) {
			c := create(b)
			ends := make([]endpoint, 0, 2*connections)
			before := memory()
			for range connections {
				x, y := c.connect(b)
				x.send(b, make([]byte, 64))
				y.receive(b)
				ends = append(ends, x, y)
			}
			time.Sleep(settle) // until path MTU discovery and late acknowledgements are over
			after, sent := memory(), c.bytes()
			time.Sleep(settle)
			idle := float64(c.bytes()-sent) / connections / settle.Seconds()
			b.ReportMetric(float64(after-before)/float64(len(ends))/1024, "KB/end")
			b.ReportMetric(idle, "idle-bytes/s")
			for _, end := range ends {
				end.Close()
			}
		})
	}
}

// memory returns the heap and stacks in use, in bytes.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
