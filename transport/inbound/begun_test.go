package inbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// halves are responses whose two halves are sent one after the other: of known length, chunked, and up to
// the end of the connection.
func halves() map[string][2]string {
	half := strings.Repeat("x", 100<<10)
	size := strconv.FormatInt(int64(len(half)), 16)
	return map[string][2]string{
		"length":     {"Content-Length: " + strconv.Itoa(2*len(half)) + "\r\n\r\n" + half, half},
		"chunked":    {"Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + half + "\r\n", size + "\r\n" + half + "\r\n0\r\n\r\n"},
		"to the end": {"Connection: close\r\n\r\n" + half, half},
	}
}

// sendHalves returns a handler that sends the first half at once and the second one late.
func sendHalves(parts [2]string, late time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+parts[0])
		time.Sleep(late)
		_, _ = io.WriteString(c, parts[1]) // the gate may have closed the connection
	}
}

// begunDeadline is the deadline of the requests whose second half is late.
const begunDeadline = 100 * time.Millisecond

// relayHalves sends a request through the gate and returns what the entry node gets, and whether the gate
// cut it.
func relayHalves(t *testing.T, kind model.ClassKind, parts [2]string, late, extension time.Duration) (size int, cut bool) {
	t.Helper()
	g, i := newGate(t, attempt.NewRuns(), 0, sendHalves(parts, late))
	g.cfg.ResponseExtension = extension
	req := requestTo(i, kind)
	req.Header.Set("Jacinthgate-Deadline", strconv.FormatInt(begunDeadline.Milliseconds(), 10))
	w := httptest.NewRecorder()
	defer func() {
		size, cut = w.Body.Len(), recover() != nil || w.Code != http.StatusOK
		for g.Load().Used > 0 {
			time.Sleep(time.Millisecond)
		}
	}()
	g.ServeHTTP(w, req)
	return 0, false
}

// Guards against a response that the backend server has begun, and that the gate cuts at its deadline.
func TestBegunResponseIsRelayedPastItsDeadline(t *testing.T) {
	for _, kind := range []model.ClassKind{model.KindInteractive, model.KindBulk} {
		for name, parts := range halves() {
			t.Run(string(kind)+", "+name, func(t *testing.T) {
				size, cut := relayHalves(t, kind, parts, 2*begunDeadline, time.Minute)
				must.False(t, cut)
				must.Eq(t, 200<<10, size)
			})
		}
	}
}

// Guards against a response that is waited for without a limit.
func TestBegunResponseIsCutAfterItsExtension(t *testing.T) {
	for name, parts := range halves() {
		t.Run(name, func(t *testing.T) {
			_, cut := relayHalves(t, model.KindInteractive, parts, 20*begunDeadline, begunDeadline)
			must.True(t, cut)
		})
	}
}
