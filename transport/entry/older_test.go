package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/standin/older"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// startOlder starts the older system and a test bed, and returns the address of a
// listener on which the proxy's Serve accepts callers.
func startOlder(t *testing.T, b *testBed) (*older.Server, string) {
	t.Helper()
	system := older.New()
	ol, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = system.Serve(ol) }()
	t.Cleanup(func() { ol.Close(); system.Close() })
	b.cfg.OlderAddr = ol.Addr().String()
	b.start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = b.proxy.Serve(l) }()
	t.Cleanup(func() { must.NoError(t, b.proxy.Shutdown(context.Background())) })
	return system, l.Addr().String()
}

const (
	unusualGet = "GET /older/a?b=%2f&&c HTTP/1.1\r\nhOST: screens.example\r\nX-b: 2\r\nx-A:   1\r\nX-b: 3\r\n\r\n"
	post       = "POST /older/a HTTP/1.1\r\nHost: screens.example\r\nContent-Length: 5\r\nx-Z: 1\r\n\r\nhello"
	chunks     = "POST /older/c HTTP/1.1\r\nHost: screens.example\r\ntransfer-Encoding: chunked\r\n\r\n" +
		"005;ext=1\r\nhello\r\n2\r\n!!\r\n0\r\n\r\n"
	meshGet = "GET /x HTTP/1.1\r\nHost: screens.example\r\n\r\n"
)

func TestOlderGetsRequestsByteForByte(t *testing.T) {
	system, addr := startOlder(t, newTestBed())
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	count := int64(0)
	// One connection carries requests for both systems in turn.
	for range 3 {
		for _, raw := range []string{unusualGet, post, meshGet, chunks, post, unusualGet, meshGet} {
			_, err := io.WriteString(conn, raw)
			must.NoError(t, err)
			if raw == meshGet {
				resp, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				must.Eq(t, "host-1", resp.Header.Get("Jacinthgate-Served-By"))
				read(t, resp)
				continue
			}
			count++
			must.Eq(t, raw, checkOlder(t, reader, raw, count))
		}
	}
	must.Eq(t, count, system.Requests())
}

// checkOlder returns raw after checking that the older system received exactly these
// bytes and that its response arrived unchanged.
func checkOlder(t *testing.T, reader *bufio.Reader, raw string, count int64) string {
	t.Helper()
	head, err := forward.ReadHead(reader)
	must.NoError(t, err)
	must.StrHasPrefix(t, "HTTP/1.1 200 Fine\r\nx-older-system: Yes\r\nContent-type: application/json\r\nA-first: 1\r\n", string(head))
	must.StrNotContains(t, string(head), "Jacinthgate")
	var a older.Answer
	must.NoError(t, json.NewDecoder(io.LimitReader(reader, int64(bodyLength(t, head)))).Decode(&a))
	sum := sha256.Sum256([]byte(raw))
	must.Eq(t, hex.EncodeToString(sum[:]), a.Hash)
	must.Eq(t, count, a.Request)
	must.Eq(t, 1, a.Connection)
	return raw
}

func bodyLength(t *testing.T, head []byte) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(head))), nil)
	must.NoError(t, err)
	return int(resp.ContentLength)
}

func TestOlderWithoutConfiguration(t *testing.T) {
	b := newTestBed()
	_, addr := startOlder(t, b)
	b.snap.Store(nil)
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, post)
	must.NoError(t, err)
	checkOlder(t, bufio.NewReader(conn), post, 1)
}

func TestOlderUpgradeIsSpliced(t *testing.T) {
	b := newTestBed()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = forward.ReadHead(bufio.NewReader(c))
		// The server sends first, then echoes.
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nhello")
		_, _ = io.Copy(c, c)
	}()
	_, addr := startOlder(t, b)
	b.proxy.cfg.OlderAddr = l.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET /older/u HTTP/1.1\r\nHost: screens.example\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	_, err = forward.ReadHead(reader)
	must.NoError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(reader, got)
	must.NoError(t, err)
	must.Eq(t, "hello", string(got))
	_, err = io.WriteString(conn, "again")
	must.NoError(t, err)
	_, err = io.ReadFull(reader, got)
	must.NoError(t, err)
	must.Eq(t, "again", string(got))
}

// A graceful shutdown lets a request in flight at the older system finish, and closes
// its caller's connection afterwards.
func TestShutdownWaitsForOlderRequests(t *testing.T) {
	b := newTestBed()
	received, release := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	defer s.Close()
	_, addr := startOlder(t, b)
	b.proxy.cfg.OlderAddr = s.Listener.Addr().String()
	conn, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, unusualGet)
	must.NoError(t, err)
	<-received
	ended := make(chan error, 1)
	go func() { ended <- b.proxy.Shutdown(context.Background()) }()
	for closing := false; !closing; {
		b.proxy.older.mu.Lock()
		closing = b.proxy.older.closing
		b.proxy.older.mu.Unlock()
	}
	must.Eq(t, 0, len(ended))
	close(release)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.Eq(t, "whole", read(t, resp))
	must.NoError(t, <-ended)
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
