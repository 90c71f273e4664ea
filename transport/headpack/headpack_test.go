package headpack

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	written int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return c.Conn.Write(p)
}

// connPair returns both ends of a packed connection, and the client's underlying
// connection, which counts the bytes that it sends.
func connPair(t *testing.T) (client, server *Conn, sent *countingConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	a, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	b, err := ln.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	sent = &countingConn{Conn: a}
	return Client(sent), Server(b), sent
}

// transfer writes p at one end, reads as many bytes at the other and checks that
// they are equal.
func transfer(t *testing.T, from, to *Conn, p []byte) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := from.Write(p)
		done <- err
	}()
	got := make([]byte, len(p))
	_, err := io.ReadFull(to, got)
	must.NoError(t, err)
	must.NoError(t, <-done)
	must.Eq(t, string(p), string(got))
	must.False(t, to.HasUnread())
}

// requestHead returns a request's head as nodes send it, with random ids and times.
func requestHead(rnd *rand.Rand) string {
	hosts := []string{"screens.example", "desk.example"}
	id := func() string { return strconv.FormatUint(rnd.Uint64()|1<<63, 16) }
	return "GET /status/" + id()[:6] + " HTTP/1.1\r\nHost: " + hosts[rnd.IntN(2)] +
		"\r\nAccept: */*\r\nAccept-Encoding: identity\r\nJacinthgate-Caller: status" +
		"\r\nJacinthgate-Deadline: " + strconv.Itoa(rnd.IntN(1000)) +
		"\r\nJacinthgate-Instance: i-2ecfe3c95f\r\nJacinthgate-Kind: interactive\r\nJacinthgate-Service: status" +
		"\r\nJacinthgate-Urgency: " + strconv.Itoa(rnd.IntN(400)) + "/400/2\r\nUser-Agent: screen/1.9.3" +
		"\r\nX-Deadline-Ms: " + strconv.Itoa(rnd.IntN(1000)) + "\r\nX-Request-Id: " + id() + "\r\n\r\n"
}

// responseHead returns a response's head as nodes send it, with random ids and times.
func responseHead(rnd *rand.Rand) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(rnd.IntN(9000)) +
		"\r\nContent-Type: application/octet-stream\r\nDate: Wed, 02 Dec 2026 21:04:" + strconv.Itoa(10+rnd.IntN(50)) + " GMT" +
		"\r\nJacinthgate-Load: " + strconv.Itoa(rnd.IntN(9)) + "/9/0/" + strconv.Itoa(rnd.IntN(200000)) +
		"\r\nJacinthgate-Outcome: answered\r\nJacinthgate-Reached: 1\r\nJacinthgate-Typical-Micros: " + strconv.Itoa(rnd.IntN(200000)) +
		"\r\nX-Request-Id: " + strconv.FormatUint(rnd.Uint64()|1<<63, 16) + "\r\n\r\n"
}

// The heads of requests and responses take 352 and 271 bytes as text here. Packed
// they take 58 and 72 bytes, the mean over a hundred heads on one connection
// including the first.
func TestHeadsBecomeSmall(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, tc := range []struct {
		head    func(*rand.Rand) string
		maxMean int
	}{{requestHead, 75}, {responseHead, 80}} {
		client, server, sent := connPair(t)
		plain := 0
		const heads = 100
		for range heads {
			head := tc.head(rnd)
			plain += len(head)
			transfer(t, client, server, []byte(head))
		}
		t.Logf("%d bytes plain, %d packed", plain/heads, sent.written/heads)
		must.Less(t, tc.maxMean, sent.written/heads)
	}
}

// Fields whose values don't repeat must not evict those that do from the table.
func TestTableKeepsRepeatingFields(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	client, server, sent := connPair(t)
	for range 2000 {
		transfer(t, client, server, []byte(requestHead(rnd)))
	}
	before := sent.written
	transfer(t, client, server, []byte(requestHead(rnd)))
	must.Less(t, 75, sent.written-before)
}

// Bytes that aren't a head, and heads that decoding would not restore exactly, are
// sent unchanged.
func TestNonHeadsPassUnchanged(t *testing.T) {
	for _, text := range []string{
		"x", "\x01\x02\x00", strings.Repeat("A", 100_000), "GET / HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.1\r\nNo-Space:v\r\n\r\n", "GET / HTTP/1.1\r\n:m: x\r\n\r\n", "HTTP/1.1 \r\n\r\n", " HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nEmpty: \r\nSpaces:   v  \r\nBare\r: \n\r\n\r\nbody",
		"GET / HTTP/1.1\r\nLong: " + strings.Repeat("v", 5000) + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nHTTP/1.1 2", "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		client, server, _ := connPair(t)
		for range 3 {
			transfer(t, client, server, []byte(text))
			transfer(t, server, client, []byte(text))
		}
	}
}

// A server doesn't pack its responses to a client that doesn't pack.
func TestPlainClientGetsPlainResponse(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	s.Listener = Listener{s.Listener}
	s.Start()
	defer s.Close()
	for range 3 {
		resp, err := http.Post(s.URL, "text/plain", strings.NewReader("hello"))
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "hello", string(body))
		must.NoError(t, resp.Body.Close())
	}
}

// A read that ends at its deadline loses no bytes. HTTP servers interrupt reads by
// setting a deadline.
func TestReadResumesAfterDeadline(t *testing.T) {
	client, server, sent := connPair(t)
	var wire bytes.Buffer
	packer := Client(&writeOnlyConn{&wire})
	head := requestHead(rand.New(rand.NewPCG(5, 6)))
	_, err := packer.Write([]byte(head + "body"))
	must.NoError(t, err)
	var got []byte
	for _, b := range wire.Bytes() {
		_, err := sent.Write([]byte{b})
		must.NoError(t, err)
		must.NoError(t, server.SetReadDeadline(time.Now().Add(2*time.Millisecond)))
		p := make([]byte, 4096)
		n, err := server.Read(p)
		if err != nil {
			must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
		}
		got = append(got, p[:n]...)
	}
	must.NoError(t, server.SetReadDeadline(time.Time{}))
	rest := make([]byte, len(head)+4-len(got))
	_, err = io.ReadFull(server, rest)
	must.NoError(t, err)
	must.Eq(t, head+"body", string(got)+string(rest))
	_ = client
}

// writeOnlyConn is a connection whose writes go to an io.Writer; reads return
// io.EOF.
type writeOnlyConn struct{ io.Writer }

func (writeOnlyConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (writeOnlyConn) Close() error                     { return nil }
func (writeOnlyConn) LocalAddr() net.Addr              { return nil }
func (writeOnlyConn) RemoteAddr() net.Addr             { return nil }
func (writeOnlyConn) SetDeadline(time.Time) error      { return nil }
func (writeOnlyConn) SetReadDeadline(time.Time) error  { return nil }
func (writeOnlyConn) SetWriteDeadline(time.Time) error { return nil }

// readOnlyConn is a connection that reads from an io.Reader.
type readOnlyConn struct {
	writeOnlyConn
	r io.Reader
}

func (c readOnlyConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// The bytes written are restored exactly, whatever the size of the writes.
func FuzzRoundTrip(f *testing.F) {
	rnd := rand.New(rand.NewPCG(7, 8))
	f.Add([]byte(requestHead(rnd)+responseHead(rnd)+requestHead(rnd)+"body"), uint16(30))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\n\x02\x01GET / HTTP/1.1\r\n\r\n"), uint16(3))
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		var wire bytes.Buffer
		c := Client(&writeOnlyConn{&wire})
		for rest := text; len(rest) > 0; {
			n := min(len(rest), int(piece)+1)
			_, err := c.Write(rest[:n])
			must.NoError(t, err)
			rest = rest[n:]
		}
		got, err := io.ReadAll(Server(readOnlyConn{r: &wire}))
		must.NoError(t, err)
		must.Eq(t, string(text), string(got))
	})
}

// Arbitrary input is either decoded or rejected with a *FrameError or
// io.ErrUnexpectedEOF.
func FuzzReadArbitraryBytes(f *testing.F) {
	f.Add([]byte{frameHead, 1, 0x82})
	f.Add([]byte{frameRaw, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, wire []byte) {
		_, err := io.Copy(io.Discard, Server(readOnlyConn{r: bytes.NewReader(wire)}))
		var frame *FrameError
		must.True(t, err == nil || errors.As(err, &frame) || errors.Is(err, io.ErrUnexpectedEOF))
	})
}

func BenchmarkHead(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 2))
	heads := make([]string, 64)
	for i := range heads {
		heads[i] = requestHead(rnd)
	}
	e, d := newEncoder(), newDecoder()
	b.ReportAllocs()
	for i := range b.N {
		block, _ := e.encode(heads[i%len(heads)])
		_, _ = d.decode(block)
	}
}

// A server that responds before it has read a request's body half-closes the
// connection and closes it later. If it closed the connection at once, with unread
// bytes, the kernel would reset it and the client could lose the refusal.
func TestRefusalBeforeTheBodyIsReadArrives(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.Listener = Listener{s.Listener}
	s.Start()
	defer s.Close()
	for range 20 {
		raw, err := net.Dial("tcp", s.Listener.Addr().String())
		must.NoError(t, err)
		c := Client(raw)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n")
		must.NoError(t, err)
		_, _ = c.Write(make([]byte, 512<<10)) // the server may have closed its side
		got, err := io.ReadAll(c)
		must.NoError(t, err)
		must.StrHasPrefix(t, "HTTP/1.1 503 ", string(got))
		must.NoError(t, c.Close())
	}
}
