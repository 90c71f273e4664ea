package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// uploadTime is the time until the response to an upload is due.
const uploadTime = 5 * time.Second

// sendUploadHead sends a gate the head of an upload with Expect: 100-continue. It returns
// the connection and a reader of the responses.
func sendUploadHead(t *testing.T, addr, instance string, bytes int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	head := http.Header{
		outcome.HeaderExpectAdded: {"1"}, "Expect": {"100-continue"}, outcome.HeaderKind: {string(model.KindUpload)},
		outcome.HeaderService: {"s"}, outcome.HeaderInstance: {instance}, outcome.HeaderDeadline: {strconv.FormatInt(uploadTime.Milliseconds(), 10)},
		outcome.HeaderUrgency: {outcome.Urgency{Left: uploadTime, Target: uploadTime}.String()}, "Content-Length": {strconv.Itoa(bytes)},
	}
	_, err = io.WriteString(c, "POST /upload HTTP/1.1\r\nHost: h\r\n")
	must.NoError(t, err)
	must.NoError(t, head.Write(c))
	_, err = io.WriteString(c, "\r\n")
	must.NoError(t, err)
	return c, bufio.NewReader(c)
}

// newUploadGate returns a gate whose backend server reads and discards any body.
func newUploadGate(t *testing.T) (g *Gate, addr, instance string) {
	t.Helper()
	g, i := newGate(t, attempt.NewRuns(), 0, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return g, server.Listener.Addr().String(), i.Key()
}

// Guards against several uploads that fill a host's link at the same time and so delay
// small requests.
func TestUploadBodiesAreReceivedOneAtATime(t *testing.T) {
	g, addr, instance := newUploadGate(t)
	g.receiving <- struct{}{}
	c, br := sendUploadHead(t, addr, instance, 4)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := br.Peek(1)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded, must.Sprint("100 Continue was sent while another body is received"))
	must.NoError(t, c.SetReadDeadline(time.Time{}))
	<-g.receiving
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusContinue, resp.StatusCode)
	_, err = io.WriteString(c, "body")
	must.NoError(t, err)
	resp, err = http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.Eq(t, 0, len(g.receiving))
}

// Guards against uploads that wait for a link whose backlog is too long to receive them in
// time.
func TestUploadIsRefusedAtOnceIfLinkBacklogIsTooLong(t *testing.T) {
	g, addr, instance := newUploadGate(t)
	reservation, _, ok := g.cfg.UploadShaper.Reserve(time.Now(), 0)
	must.True(t, ok)
	reservation.SetSize(1 << 20) // more than ten seconds on a link of 1 Mbit/s
	_, br := sendUploadHead(t, addr, instance, 4)
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.Eq(t, string(outcome.ReasonQueueFull), resp.Header.Get(outcome.HeaderReason))
}

// Guards against a sender that stalls and thereby blocks all other uploads.
func TestStalledSenderLosesItsTurn(t *testing.T) {
	g, _, _ := newUploadGate(t)
	r := httptest.NewRequest(http.MethodPost, "/upload", http.NoBody)
	r.Header.Set(outcome.HeaderUrgency, outcome.Urgency{Left: uploadTime, Target: uploadTime}.String())
	first := g.awaitTurn(r)
	must.NotNil(t, first)
	second := g.awaitTurn(r)
	must.NotNil(t, second)
	first.done()
	second.done()
	must.Eq(t, 0, len(g.receiving))
}
