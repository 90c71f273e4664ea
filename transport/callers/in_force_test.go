package callers

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRequestOnAnIdleConnectionIsReadWithTheCurrentHeaderLimit(t *testing.T) {
	var headerBytes atomic.Int64
	headerBytes.Store(1 << 10)
	_, addr := startWithLimits(t, func() Limits {
		return Limits{HeaderBytes: int(headerBytes.Load()), HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	_, _ = readResponse(t, br)
	headerBytes.Store(64 << 10)
	send(t, c, "GET /2 HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 32<<10)+"\r\n\r\n"+get("/3"))
	for _, want := range []string{"/2", "/3"} {
		resp, body := readResponse(t, br)
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(want))
		must.Eq(t, want, body)
	}
}
