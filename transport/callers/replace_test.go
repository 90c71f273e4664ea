package callers

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestReplacedResponseHasNothingOfTheFailedOne(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stamp", "of the backend server")
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set("Transfer-Encoding", "chunked")
		w.WriteHeader(http.StatusNoContent)
		panic(http.ErrAbortHandler)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+"HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n"+get("/3"))
	for _, method := range []string{"GET", "HEAD", "GET"} {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		must.Eq(t, http.StatusBadGateway, resp.StatusCode)
		must.Eq(t, http.Header{"Content-Length": {"0"}}, resp.Header)
	}
}

func TestReplacedResponseClosesTheConnectionIfContinueWasNotSent(t *testing.T) {
	_, addr := startServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c, br := dial(t, addr)
	send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.True(t, resp.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

func TestConnectionStaysOpenAfterAReplacedResponseIfTheBodyWasRead(t *testing.T) {
	_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
	})
	c, br := dial(t, addr)
	send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+get("/2"))
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.False(t, resp.Close)
	resp, _ = readResponse(t, br)
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

func TestResponseBehindTheFinalOneIsNotReplaced(t *testing.T) {
	ended := make(chan struct{})
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-ended
			w.Header().Set("Connection", "close")
			return
		}
		defer close(ended)
		panic(http.ErrAbortHandler)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1")+get("/2"))
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, resp.Close)
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// Pipelines every kind of response with every other one, written before its turn and at its turn.
func TestResponsesOfAllKindsKeepOrderAndContent(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		flush := func() { must.NoError(t, http.NewResponseController(w).Flush()) }
		body := strings.Repeat(r.URL.Path, 500)
		switch r.URL.Path[1:2] {
		case "a": // fails before a part of it was sent
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		case "f": // is flushed in parts
			flush()
			for part := range strings.SplitSeq(body, "/") {
				_, _ = io.WriteString(w, part)
				flush()
			}
		case "l": // is longer than maxBuffered
			flush()
			_, _ = io.WriteString(w, strings.Repeat("x", maxBuffered+1))
			flush()
		default:
			_, _ = io.WriteString(w, body)
		}
	})
	const kinds, rounds = "afln", 40
	for round := range rounds {
		c, br := dial(t, addr)
		var all strings.Builder
		var paths []string
		for i := range 12 {
			p := "/" + string(kinds[(round*7+i*(round%4+1))%len(kinds)]) + strconv.Itoa(i)
			paths = append(paths, p)
			all.WriteString(get(p))
		}
		send(t, c, all.String())
		for _, p := range paths {
			resp, body := readResponse(t, br)
			switch p[1:2] {
			case "a":
				must.Eq(t, http.StatusBadGateway, resp.StatusCode)
				must.Eq(t, "", body)
			case "f":
				must.Eq(t, strings.Repeat(p[1:], 500), body)
			case "l":
				must.Eq(t, maxBuffered+1, len(body))
			default:
				must.Eq(t, strings.Repeat(p, 500), body)
			}
		}
		must.NoError(t, c.Close())
	}
}

func TestResponseAbortedAtTheEndOfAShutdownIsReplaced(t *testing.T) {
	begun := make(chan struct{})
	s, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the graceful part of the shutdown ends at once
	must.NoError(t, s.Shutdown(ctx))
	resp, _ := readResponse(t, br)
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.True(t, resp.Close)
}
