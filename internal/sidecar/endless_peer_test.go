package sidecar

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// nodeMemory is the memory that a node may use, in bytes.
const nodeMemory = 64 << 20

// Guards against other processes whose bytes without end are read for as long as they come, on any of a
// node's addresses.
func TestEndlessSenderLosesItsConnection(t *testing.T) {
	f := newFleet(t, 1)
	listen := &f.nodes[0].node.set.Listen
	addrs := map[string]string{"peers": listen.Peers, "gate": listen.Gate, "backend": listen.Backend, "ready": listen.Ready, "metrics": listen.Metrics}
	const beat, chunked = "POST /api/instances/i-0/heartbeat HTTP/1.1\r\nHost: x\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	text := strings.Repeat("x", 8<<10)
	for name, c := range map[string]struct {
		begin, piece string
		pause        time.Duration
	}{
		"text":                {"", text, 0},
		"zeros":               {"", strings.Repeat("\x00", 8<<10), 0},
		"frames of no bytes":  {"", strings.Repeat("\x01\x00", 4<<10), 0},
		"largest frames":      {"", strings.Repeat("\xff", 8<<10), 0},
		"slow text":           {"", "x", 50 * time.Millisecond},
		"slow frame":          {"\x00\x00\x10\x00", "x", 50 * time.Millisecond},
		"header lines":        {beat, "X: y\r\n", 0},
		"slow header lines":   {beat, "X: y\r\n", 50 * time.Millisecond},
		"chunks":              {beat + chunked, "2000\r\n" + text + "\r\n", 0},
		"slow chunks":         {beat + chunked, "1\r\nx\r\n", 50 * time.Millisecond},
		"slow body":           {beat + "Content-Length: 60000\r\n\r\n", " ", 50 * time.Millisecond},
		"trailers":            {beat + chunked + "0\r\n", "X: y\r\n", 0},
		"behind a heartbeat":  {beat + "Content-Length: 2\r\n\r\n{}", text, 0},
		"packed header lines": {"\x01\x20" + beat[:32], "\x01\x06X: y\r\n", 0},
	} {
		for to, addr := range addrs {
			t.Run(name+" to "+to, func(t *testing.T) {
				t.Parallel()
				must.LessEq(t, endlessCallerBytes, sendWithoutEnd(t, addr, c.begin, c.piece, c.pause))
			})
		}
	}
	t.Cleanup(func() {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		must.LessEq(t, nodeMemory, int(m.HeapAlloc), must.Sprint("bytes in use"))
	})
}
