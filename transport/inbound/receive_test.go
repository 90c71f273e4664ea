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

// uploading is the time until an upload's answer is due.
const uploading = 5 * time.Second

// uploadTo sends the head of an upload to a gate, which is to ask for its body.
func uploadTo(t *testing.T, addr, instance string, bytes int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	head := http.Header{
		outcome.HeaderAsked: {"1"}, "Expect": {"100-continue"}, outcome.HeaderKind: {string(model.KindUpload)},
		outcome.HeaderService: {"s"}, outcome.HeaderInstance: {instance}, outcome.HeaderDeadline: {strconv.FormatInt(uploading.Milliseconds(), 10)},
		outcome.HeaderUrgency: {outcome.Urgency{Left: uploading, Target: uploading}.String()}, "Content-Length": {strconv.Itoa(bytes)},
	}
	_, err = io.WriteString(c, "POST /upload HTTP/1.1\r\nHost: h\r\n")
	must.NoError(t, err)
	must.NoError(t, head.Write(c))
	_, err = io.WriteString(c, "\r\n")
	must.NoError(t, err)
	return c, bufio.NewReader(c)
}

// uploadGate returns a gate whose backend server takes any body.
func uploadGate(t *testing.T) (g *Gate, addr, instance string) {
	t.Helper()
	g, i := newGate(t, attempt.NewRuns(), 0, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return g, server.Listener.Addr().String(), i.Key()
}

// Guards against uploads that fill a host's link together, so that small requests wait behind them.
func TestBodyOfAnUploadWaitsForTheOneBeforeIt(t *testing.T) {
	g, addr, instance := uploadGate(t)
	g.receiving <- struct{}{}
	c, br := uploadTo(t, addr, instance, 4)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := br.Peek(1)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded, must.Sprint("the body was asked for while another one is received"))
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

// Guards against uploads that wait for a link which can't take them in time.
func TestUploadIsRefusedAtOnceWhereTheLinkIsBusyForTooLong(t *testing.T) {
	g, addr, instance := uploadGate(t)
	ticket, _, ok := g.cfg.Uploads.Reserve(time.Now(), 0)
	must.True(t, ok)
	ticket.SetSize(1 << 20) // more than ten seconds on a link of 1 Mbit/s
	_, br := uploadTo(t, addr, instance, 4)
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.Eq(t, string(outcome.ReasonQueueFull), resp.Header.Get(outcome.HeaderReason))
}

// Guards against a sender that stops and holds up all other uploads.
func TestTurnOfASenderThatHasStoppedEnds(t *testing.T) {
	g, _, _ := uploadGate(t)
	r := httptest.NewRequest(http.MethodPost, "/upload", http.NoBody)
	r.Header.Set(outcome.HeaderUrgency, outcome.Urgency{Left: uploading, Target: uploading}.String())
	first := g.awaitTurn(r)
	must.NotNil(t, first)
	second := g.awaitTurn(r)
	must.NotNil(t, second)
	first.done()
	second.done()
	must.Eq(t, 0, len(g.receiving))
}
