package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// endless answers with begin, followed by piece again and again until the connection is closed.
func endless(begin, piece string, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		_, err = out.WriteString(strings.ReplaceAll(begin, "ID", r.Header.Get(platformtest.HeaderRequestID)))
		for err == nil {
			if _, err = out.WriteString(piece); err == nil {
				err = out.Flush()
			}
			time.Sleep(pause)
		}
	}
}

// Guards against callers who wait until their deadline for a response that doesn't end, though another
// backend server is free.
func TestRequestWithAnEndlessResponseIsServedElsewhere(t *testing.T) {
	const refused = "HTTP/1.1 503 Service Unavailable\r\n" + platformtest.HeaderNotRun + ": 1\r\n" + platformtest.HeaderRequestID + ": ID\r\n"
	const foreign = "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": another\r\n"
	text := strings.Repeat("x", 4<<10)
	for name, c := range map[string]struct {
		begin, piece string
		pause        time.Duration
		// mayRun is set if the backend server may have run the request.
		mayRun bool
	}{
		"no response at all":     {"", text, 0, true},
		"status line":            {"HTTP/1.1 200 ", text, 0, true},
		"head":                   {"HTTP/1.1 200 OK\r\nX: ", text, 0, true},
		"slow head":              {"HTTP/1.1 200 OK\r\n", "X: y\r\n", 10 * time.Millisecond, true},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, true},
		"foreign body":           {foreign + "\r\n", text, 0, true},
		"slow foreign body":      {foreign + "\r\n", "x", 10 * time.Millisecond, true},
		"trailers":               {foreign + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0, true},
		"refusal's body":         {refused + "\r\n", text, 0, false},
		"slow refusal's body":    {refused + "\r\n", "x", 10 * time.Millisecond, false},
		"refusal's body, length": {refused + "Content-Length: 100\r\n\r\n", "x", 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			faulty := f.nodes[0].backend
			faulty.Answer = endless(c.begin, c.piece, c.pause)
			for _, m := range f.nodes[1:] {
				m.backend.Work = 50 * time.Millisecond // so that requests at the same time go to all
			}
			for _, status := range f.doTogether("GET", "/status/") {
				must.Eq(t, http.StatusOK, status)
			}
			must.Positive(t, len(faulty.Seen()))
			for _, status := range f.doTogether("POST", "/book/") {
				must.True(t, status == http.StatusOK || status == http.StatusBadGateway && c.mayRun, must.Sprint(status))
			}
			runs := make(map[string]int)
			for _, s := range f.seen() {
				if runs[s.Path]++; s.Method == "POST" && c.mayRun {
					must.Eq(t, 1, runs[s.Path], must.Sprint(s.Path))
				}
			}
		})
	}
}

// doTogether sends requests to all nodes at the same time and returns the statuses.
func (f *fleet) doTogether(method, prefix string) []int {
	const requests = 9
	statuses := make([]int, requests)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			resp, _ := f.do(f.nodes[i%len(f.nodes)], method, fmt.Sprint(prefix, i), "")
			statuses[i] = resp.StatusCode
		})
	}
	all.Wait()
	return statuses
}
