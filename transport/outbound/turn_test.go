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

// answerOf returns a backend server's answer, as a gate passes it on.
func answerOf(length int64, body io.Reader) *http.Response {
	h := http.Header{outcome.HeaderOutcome: {string(outcome.Answered)}, outcome.HeaderReached: {"1"}}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: h, Body: io.NopCloser(body), ContentLength: length,
	}
}

// untilDone reads until a context ends, as a connection with a deadline does.
type untilDone struct {
	ctx context.Context
	io.Reader
}

func (r untilDone) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

// gate is a http.RoundTripper.
type gate func(*http.Request) (*http.Response, error)

func (g gate) RoundTrip(r *http.Request) (*http.Response, error) { return g(r) }

// maxKept is the size up to which the proxies under test keep answers, in bytes.
const maxKept = 1 << 10

// proxyOf returns a proxy in front of such a gate.
func proxyOf(t *testing.T, g gate) *Proxy {
	p := newProxy(t, model.KindInteractive, 9, nil)
	p.cfg.Near, p.cfg.Far, p.cfg.MaxKept = g, g, maxKept
	return p
}

// askInTurn sends GET requests one behind another on a connection and returns the answers'
// bodies, up to the first one that isn't whole.
func askInTurn(t *testing.T, p *Proxy, paths ...string) []string {
	t.Helper()
	c, br := connect(t, p)
	var all strings.Builder
	for _, path := range paths {
		all.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	_, err := io.WriteString(c, all.String())
	must.NoError(t, err)
	return bodies(br, len(paths))
}

// bodies reads so many answers.
func bodies(br *bufio.Reader, n int) []string {
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

func TestReadyAnswersAreDeliveredWhenTheirTurnComesLate(t *testing.T) {
	late := make(chan struct{}) // the deadline of the second request is over, or it was handled
	p := proxyOf(t, func(r *http.Request) (*http.Response, error) {
		switch r.URL.Path {
		case "/slow":
			<-late
		case "/no-length":
			context.AfterFunc(r.Context(), func() { close(late) })
			return answerOf(-1, untilDone{r.Context(), strings.NewReader(r.URL.Path)}), nil
		}
		return answerOf(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
	})
	want := []string{"/slow", "/no-length", "/behind"}
	must.Eq(t, want, askInTurn(t, p, want...))
}

func TestLargeAnswerThatMissesItsTurnTakesNoOtherAlong(t *testing.T) {
	late := make(chan struct{})
	large := strings.Repeat("x", 1<<20)
	p := proxyOf(t, func(r *http.Request) (*http.Response, error) {
		switch r.URL.Path {
		case "/slow":
			<-late
		case "/large":
			context.AfterFunc(r.Context(), func() { close(late) })
			return answerOf(int64(len(large)), untilDone{r.Context(), strings.NewReader(large)}), nil
		}
		return answerOf(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
	})
	must.Eq(t, []string{"/slow", "", "/behind"}, askInTurn(t, p, "/slow", "/large", "/behind"))
}

func TestLargeAnswerThatBreaksOffTakesNoneBehindItAlong(t *testing.T) {
	behind := make(chan struct{})
	p := proxyOf(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path != "/large" {
			close(behind)
			return answerOf(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
		}
		<-behind
		return answerOf(4*maxKept, broken{strings.NewReader("part")}), nil
	})
	p.cfg.Policy.MaxSends = 1
	must.Eq(t, []string{"", "/behind"}, askInTurn(t, p, "/large", "/behind"))
}

func TestNoRequestIsPassedOnBehindAnAnswerThatMayBreakOff(t *testing.T) {
	sent, passedOn := make(chan struct{}), make(chan struct{})
	p := proxyOf(t, func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/behind" {
			close(passedOn)
		}
		body, feed := io.Pipe()
		go func() {
			_, _ = io.WriteString(feed, strings.Repeat("x", 6*maxKept))
			<-sent
			select {
			case <-passedOn:
			case <-time.After(50 * time.Millisecond):
			}
			_ = feed.CloseWithError(io.ErrUnexpectedEOF)
		}()
		return answerOf(8*maxKept, body), nil
	})
	c, br := connect(t, p)
	_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	_, err = br.Peek(1)
	must.NoError(t, err)
	_, err = io.WriteString(c, "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	close(sent)
	must.Len(t, 0, bodies(br, 2))
	select {
	case <-passedOn:
		t.Error("a request was passed on and lost with the answer before it")
	default:
	}
}

// broken is a body that breaks off.
type broken struct{ io.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestAnswerWithoutALengthThatBreaksOffIsReplaced(t *testing.T) {
	sends := 0
	p := proxyOf(t, func(*http.Request) (*http.Response, error) {
		if sends++; sends == 1 {
			return answerOf(-1, broken{strings.NewReader("part")}), nil
		}
		return answerOf(-1, strings.NewReader("whole")), nil
	})
	w := ask(p)
	must.Eq(t, "whole", w.Body.String())
	must.Eq(t, "5", w.Header().Get("Content-Length"))
}

func TestAnswersThatAreNotKeptArePassedOnAsTheyCome(t *testing.T) {
	events := answerOf(-1, strings.NewReader("data: 1\n\n"))
	events.Header.Set("Content-Type", "text/event-stream")
	trailed := answerOf(-1, strings.NewReader("body"))
	trailed.Trailer = http.Header{"Checksum": {"1"}}
	large := strings.Repeat("x", maxKept+1)
	for name, test := range map[string]struct {
		resp *http.Response
		want string
	}{
		"events":                          {events, "data: 1\n\n"},
		"an answer with trailers":         {trailed, "body"},
		"a large answer without a length": {answerOf(-1, strings.NewReader(large)), large},
		"a large answer":                  {answerOf(maxKept+1, strings.NewReader(large)), large},
	} {
		p := proxyOf(t, func(*http.Request) (*http.Response, error) { return test.resp, nil })
		w := ask(p)
		must.Eq(t, test.want, w.Body.String(), must.Sprint(name))
		must.Eq(t, test.resp.ContentLength < 0, w.Flushed, must.Sprint(name))
	}
}
