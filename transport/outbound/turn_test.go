package outbound

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// relayedResponse returns a backend server's response as a gate relays it. A negative length stands
// for an unknown one.
func relayedResponse(length int64, body io.Reader) *http.Response {
	h := http.Header{outcome.HeaderOutcome: {string(outcome.Answered)}, outcome.HeaderReached: {"1"}}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Body: io.NopCloser(body), ContentLength: length,
	}
}

// contextReader is a reader that fails once its context has ended, as a connection with a
// deadline does.
type contextReader struct {
	ctx context.Context
	io.Reader
}

func (r contextReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

// gateFunc is a function that serves as http.RoundTripper.
type gateFunc func(*http.Request) (*http.Response, error)

func (g gateFunc) RoundTrip(r *http.Request) (*http.Response, error) { return g(r) }

// maxKept is the size up to which the proxies under test buffer bodies, in bytes.
const maxKept = 1 << 10

// proxyWithGate returns a proxy whose requests all go to g.
func proxyWithGate(t *testing.T, g gateFunc) *Proxy {
	p := newProxy(t, model.KindInteractive, 9, nil)
	p.cfg.Near, p.cfg.Far, p.cfg.MaxBodyBuffer = g, g, maxKept
	return p
}

// pipeline pipelines GET requests on one connection and returns the bodies of the responses,
// up to the first one that is incomplete.
func pipeline(t *testing.T, p *Proxy, paths ...string) []string {
	t.Helper()
	c, br := connect(t, p)
	var all strings.Builder
	for _, path := range paths {
		all.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err := io.WriteString(c, all.String())
	must.NoError(t, err)
	return readBodies(br, len(paths))
}

// readBodies reads up to n responses and returns their bodies, up to the first one that is
// incomplete.
func readBodies(br *bufio.Reader, n int) []string {
	var got []string
	for range n {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return got
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return got
		}
		got = append(got, string(body))
	}
	return got
}

func TestBufferedResponsesAreDeliveredAfterTheirDeadline(t *testing.T) {
	late := make(chan struct{}) // closed when the second request has expired or been handled
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		switch r.URL.Path {
		case "/slow":
			<-late
		case "/no-length":
			context.AfterFunc(r.Context(), func() { close(late) })
			return relayedResponse(-1, contextReader{r.Context(), strings.NewReader(r.URL.Path)}), nil
		}
		return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
	})
	want := []string{"/slow", "/no-length", "/behind"}
	must.Eq(t, want, pipeline(t, p, want...))
}

func TestExpiredLargeResponseDoesNotCutPipelinedOnes(t *testing.T) {
	late := make(chan struct{})
	large := strings.Repeat("x", 1<<20)
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		switch r.URL.Path {
		case "/slow":
			<-late
		case "/large":
			context.AfterFunc(r.Context(), func() { close(late) })
			return relayedResponse(int64(len(large)), contextReader{r.Context(), strings.NewReader(large)}), nil
		}
		return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
	})
	must.Eq(t, []string{"/slow", "", "/behind"}, pipeline(t, p, "/slow", "/large", "/behind"))
}

func TestTruncatedLargeResponseDoesNotCutPipelinedOnes(t *testing.T) {
	behind := make(chan struct{})
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path != "/large" {
			close(behind)
			return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
		}
		<-behind
		return relayedResponse(4*maxKept, truncatedBody{strings.NewReader("part")}), nil
	})
	p.cfg.Policy.MaxSends = 1
	must.Eq(t, []string{"", "/behind"}, pipeline(t, p, "/large", "/behind"))
}

// Guards against responses that are lost behind a long one without a length that is truncated.
func TestTruncatedLargeResponseWithoutLengthDoesNotCutPipelinedOnes(t *testing.T) {
	for _, size := range []int{maxKept / 2, maxKept + 1, 3 * maxKept, maxBufferedResponse - 1} {
		behind := make(chan struct{})
		p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
			if r.URL.Path != "/large" {
				close(behind)
				return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
			}
			<-behind
			return relayedResponse(-1, truncatedBody{strings.NewReader(strings.Repeat("x", size))}), nil
		})
		p.cfg.Policy.MaxSends = 1
		must.Eq(t, []string{"", "/behind"}, pipeline(t, p, "/large", "/behind"), must.Sprint(size))
		must.Zero(t, p.bufferedBytes.Load())
	}
}

// A response without a length reaches its caller whole, buffered or not.
func TestResponseWithoutLengthIsWholeBehindAndBeforeOthers(t *testing.T) {
	for _, size := range []int{0, 1, maxKept - 1, maxKept, maxKept + 1, 2*maxKept + 1, maxBufferedResponse, 2 * maxBufferedResponse} {
		long := strings.Repeat("x", size)
		p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
			if strings.HasPrefix(r.URL.Path, "/large") {
				return relayedResponse(-1, strings.NewReader(long)), nil
			}
			return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
		})
		want := []string{"/a", long, "/b", long}
		must.Eq(t, want, pipeline(t, p, "/a", "/large", "/b", "/large2"), must.Sprint(size))
		must.Zero(t, p.bufferedBytes.Load())
	}
}

func TestNoRequestIsSentBehindAStreamedResponse(t *testing.T) {
	sent, reachedGate := make(chan struct{}), make(chan struct{})
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/behind" {
			close(reachedGate)
		}
		body, feed := io.Pipe()
		go func() {
			_, _ = io.WriteString(feed, strings.Repeat("x", 6*maxKept))
			<-sent
			select {
			case <-reachedGate:
			case <-time.After(50 * time.Millisecond):
			}
			_ = feed.CloseWithError(io.ErrUnexpectedEOF)
		}()
		return relayedResponse(8*maxKept, body), nil
	})
	c, br := connect(t, p)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	_, err = br.Peek(1)
	must.NoError(t, err)
	_, err = io.WriteString(c, "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	close(sent)
	must.Len(t, 0, readBodies(br, 2))
	select {
	case <-reachedGate:
		t.Error("a pipelined request was sent to a gate, and its response was lost with the truncated one before it")
	default:
	}
}

// truncatedBody is a body that is truncated: it ends with io.ErrUnexpectedEOF.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestTruncatedResponseWithoutLengthIsReplaced(t *testing.T) {
	sends := 0
	p := proxyWithGate(t, func(*http.Request) (*http.Response, error) {
		if sends++; sends == 1 {
			return relayedResponse(-1, truncatedBody{strings.NewReader("part")}), nil
		}
		return relayedResponse(-1, strings.NewReader("whole")), nil
	})
	w := get(p)
	must.Eq(t, "whole", w.Body.String())
	must.Eq(t, "5", w.Header().Get("Content-Length"))
}

func TestUnbufferedResponsesAreStreamed(t *testing.T) {
	events := relayedResponse(-1, strings.NewReader("data: 1\n\n"))
	events.Header.Set("Content-Type", "text/event-stream")
	trailed := relayedResponse(-1, strings.NewReader("body"))
	trailed.Trailer = http.Header{"Checksum": {"1"}}
	large := strings.Repeat("x", maxKept+1)
	for name, test := range map[string]struct {
		resp *http.Response
		want string
	}{
		"events":                          {events, "data: 1\n\n"},
		"an answer with trailers":         {trailed, "body"},
		"a large answer without a length": {relayedResponse(-1, strings.NewReader(large)), large},
		"a large answer":                  {relayedResponse(maxKept+1, strings.NewReader(large)), large},
	} {
		p := proxyWithGate(t, func(*http.Request) (*http.Response, error) { return test.resp, nil })
		w := get(p)
		must.Eq(t, test.want, w.Body.String(), must.Sprint(name))
		must.Eq(t, test.resp.ContentLength < 0, w.Flushed, must.Sprint(name))
	}
}
