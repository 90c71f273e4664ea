package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
)

func TestStreamsTrailersAndEarlyHints(t *testing.T) {
	seen := make(chan struct{})
	b := newTestBed()
	b.work = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-seen // the caller must get the first part before the second is written
		_, _ = io.WriteString(w, "second")
		w.Header().Set("X-Sum", r.Trailer.Get("X-In"))
	})
	b.start(t)
	hints := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			must.Eq(t, http.StatusEarlyHints, code)
			must.Eq(t, "</a>", h.Get("Link"))
			hints++
			return nil
		},
	})
	r := b.request(t, "POST", "/stream", "body").WithContext(ctx)
	r.ContentLength = -1
	r.Trailer = http.Header{"X-In": {"sum"}}
	resp := b.do(t, r)
	part := make([]byte, len("first"))
	_, err := io.ReadFull(resp.Body, part)
	must.NoError(t, err)
	close(seen)
	must.Eq(t, "second", read(t, resp))
	must.Eq(t, "sum", resp.Trailer.Get("X-Sum"))
	must.Eq(t, 1, hints)
}

// A response that is truncated by the backend server is truncated for the caller as
// well, or replaced by an unknown outcome if none of it was relayed yet.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for _, size := range []int{100, 1 << 20} {
		b := newTestBed()
		b.work = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size/2))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		b.start(t)
		resp, err := b.client.Do(b.request(t, "GET", "/x", ""))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		unknown := resp.Header.Get(outcome.HeaderOutcome) == string(outcome.Unknown)
		must.True(t, err != nil || unknown, must.Sprintf("%d bytes: status %d", size, resp.StatusCode))
	}
}

// countingBody counts the reads of a body.
type countingBody struct {
	io.Reader
	reads int
}

// Read implements io.Reader.
func (c *countingBody) Read(p []byte) (int, error) {
	c.reads++
	return c.Reader.Read(p)
}

func TestBackendServerDecidesOnExpectedBody(t *testing.T) {
	b := newTestBed()
	b.work = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		_, _ = io.Copy(w, r.Body)
	})
	b.start(t)
	b.client.Transport.(*http.Transport).ExpectContinueTimeout = time.Minute
	for path, reads := range map[string]bool{"/refuse": false, "/take": true} {
		body := &countingBody{Reader: strings.NewReader("large")}
		r := b.request(t, "POST", path, "")
		r.Body, r.ContentLength = io.NopCloser(body), 5
		r.Header.Set("Expect", "100-continue")
		read(t, b.do(t, r))
		must.Eq(t, reads, body.reads > 0, must.Sprint(path))
	}
}

func TestCallersCancellationReachesTheBackend(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	b := newTestBed()
	b.work = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	b.start(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := b.client.Do(b.request(t, "GET", "/x", "").WithContext(ctx))
	must.True(t, errors.Is(err, context.Canceled))
	<-ended
}

// A request whose deadline passes while it runs is answered at once, with the outcome
// unknown.
func TestDeadlineIsAnsweredAsUnknown(t *testing.T) {
	ended := make(chan struct{})
	b := newTestBed()
	b.work = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	b.start(t)
	r := b.request(t, "POST", "/x", "")
	r.Header.Set(outcome.HeaderDeadline, "50")
	resp := b.do(t, r)
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
	must.Eq(t, string(outcome.Unknown), resp.Header.Get(outcome.HeaderOutcome))
	<-ended
}

func TestUntrustedHeadersAreRemovedOrRefused(t *testing.T) {
	got := make(chan http.Header, 1)
	b := newTestBed()
	b.work = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		w.Header().Set(outcome.HeaderReason, "lie")
		w.Header().Set(outcome.HeaderLoad, "0/1000/0")
	})
	b.start(t)
	r := b.request(t, "GET", "/x", "")
	r.Header.Set(outcome.HeaderOrganisation, "evil")
	r.Header.Set(outcome.HeaderServedBy, "evil")
	r.Header.Set("X-Secret", "1")
	r.Header.Set("Connection", "X-Secret")
	resp := b.do(t, r)
	h := <-got
	must.Eq(t, []string{"signage"}, h[outcome.HeaderOrganisation])
	must.Eq(t, "", h.Get(outcome.HeaderServedBy)+h.Get("X-Secret")+h.Get(outcome.HeaderKind))
	must.Eq(t, string(outcome.Answered), resp.Header.Get(outcome.HeaderOutcome))
	must.Eq(t, "", resp.Header.Get(outcome.HeaderReason)+resp.Header.Get(outcome.HeaderLoad))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = b.proxy.Serve(l) }()
	defer func() { must.NoError(t, b.proxy.Shutdown(context.Background())) }()
	r = b.request(t, "GET", "/x", "")
	r.URL.Host = l.Addr().String()
	r.Header.Set("X-Large", string(bytes.Repeat([]byte("x"), 64<<10)))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, b.do(t, r).StatusCode)
}

// A response may begin before the request's body has ended.
func TestResponseBeginsBeforeRequestBodyEnds(t *testing.T) {
	b := newTestBed()
	b.work = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		must.NoError(t, rc.EnableFullDuplex())
		buf := make([]byte, 4)
		for {
			if _, err := io.ReadFull(r.Body, buf); err != nil {
				return
			}
			_, _ = w.Write(buf)
			_ = rc.Flush()
		}
	})
	b.start(t)
	pr, pw := io.Pipe()
	r := b.request(t, "POST", "/echo", "")
	r.Body, r.ContentLength = pr, -1
	go func() { _, _ = io.WriteString(pw, "ping") }()
	resp := b.do(t, r)
	for _, word := range []string{"ping", "pong", "done"} {
		got := make([]byte, len(word))
		_, err := io.ReadFull(resp.Body, got)
		must.NoError(t, err)
		must.Eq(t, word, string(got))
		next := map[string]string{"ping": "pong", "pong": "done"}[word]
		if next != "" {
			_, _ = io.WriteString(pw, next)
		}
	}
	must.NoError(t, pw.Close())
	must.Eq(t, "", read(t, resp))
}

// A request with a streamed body can be retried at another host if none of the body
// was read.
func TestUnsentStreamGoesToAnotherHost(t *testing.T) {
	b := newTestBed().start(t)
	table := endpoint.NewTable()
	table.Put(b.view.Load().Service("rooms")[0])
	table.Put(endpoint.Record{Node: "gone", Service: "rooms", GateAddr: "127.0.0.1:1"})
	b.view.Store(table.View())
	for range 20 {
		r := b.request(t, "POST", "/x", "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("streamed")), -1
		resp := b.do(t, r)
		must.StrContains(t, read(t, resp), `"echo":"streamed"`)
	}
}

// A request for the older system whose raw head was not recorded is rebuilt. If the
// connection is lost after the request was sent, its outcome is unknown.
func TestLostConnectionToOlderSystemIsUnknown(t *testing.T) {
	b := newTestBed()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	b.cfg.OlderAddr = s.Listener.Addr().String()
	b.start(t)
	resp := b.do(t, b.request(t, "GET", "/older/a", ""))
	must.Eq(t, string(outcome.Unknown), resp.Header.Get(outcome.HeaderOutcome))
}

// A caller whose body does not arrive in time is answered at its deadline.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	b := newTestBed().start(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 9\r\n"+
		outcome.HeaderDeadline+": 30\r\n\r\npart")
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, string(outcome.NotRun), resp.Header.Get(outcome.HeaderOutcome))
	must.Eq(t, string(outcome.ReasonDeadline), resp.Header.Get(outcome.HeaderReason))
}
