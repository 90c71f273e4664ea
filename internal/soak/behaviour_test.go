package soak

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// Guards against plans without variation being drawn into it, and against behaviours that change
// with anything but faults.
func TestBehavioursAreDrawnFromTheSeed(t *testing.T) {
	plain := newBehaviours(Plan{Seed: 7})
	plain.breaking.Add(1)
	must.Eq(t, behaviour{head: time.Second}, plain.of("/report/soak-1", time.Second))
	must.Eq(t, behaviour{head: slowWork}, plain.of("/status/soak-1"+slowSuffix, time.Second))
	m := newBehaviours(Plan{Seed: 7, Ahead: true})
	framings := make(map[framing]int)
	slow, broken, stalled, reset := 0, 0, 0, 0
	const count = 1000
	for i := range count {
		path := slowPrefix + requestID(i)
		whole := m.of(path, time.Second)
		must.Eq(t, whole, m.of(path, time.Second))
		must.False(t, whole.breaks)
		framings[whole.framing]++
		if whole.rest > fastest {
			slow++
		}
		must.LessEq(t, fastest, m.of("/status/"+requestID(i), time.Second).rest)
		m.breaking.Add(1)
		struck := m.of(path, time.Second)
		m.breaking.Add(-1)
		if struck.breaks {
			broken++
			if struck.stalls {
				stalled++
			}
			if struck.framing == framedByClose {
				reset++
			}
		}
		struck.breaks = false
		must.Eq(t, whole, struck)
	}
	must.Between(t, count/20, framings[framedByClose], count/5)
	must.Between(t, count/3, framings[framedByChunks], count/2)
	must.Between(t, count/2, slow, 2*count/3)
	must.Between(t, count/5, broken, count/2)
	must.Between(t, broken/3, stalled, 2*broken/3)
	must.Between(t, broken/20, reset, broken/5)
}

// pathWith returns a path of the slow route that a backend server answers in a behaviour.
func pathWith(t *testing.T, m behaviours, is func(behaviour) bool) string {
	t.Helper()
	for i := range 10_000 {
		if path := slowPrefix + strconv.Itoa(i); is(m.of(path, time.Millisecond)) {
			return path
		}
	}
	t.Fatal("no such behaviour")
	return ""
}

// ask sends a request to a backend server and returns its answer's body and what ended that.
func ask(t *testing.T, s *server, path string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.addr+path, nil)
	must.NoError(t, err)
	req.Header.Set(platformtest.HeaderRequestID, path)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against backend servers that don't answer as was drawn, and against
// notes of whole answers that were none.
func TestBackendServersBehaveAsDrawn(t *testing.T) {
	m := newBehaviours(Plan{Seed: 7, Ahead: true})
	s, err := startServer("127.0.0.1", "i-1", "reports", m, nil)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, s.http.Close()) })
	s.Work = time.Millisecond
	for framed, chunked := range map[framing]bool{framedByLength: false, framedByChunks: true, framedByClose: false} {
		path := pathWith(t, m, func(a behaviour) bool { return a.framing == framed && a.rest < fastest })
		resp, body, err := ask(t, s, path)
		must.NoError(t, err)
		must.Eq(t, Answer("i-1", path), body)
		must.Eq(t, framed == framedByLength, resp.ContentLength >= 0)
		must.Eq(t, chunked, len(resp.TransferEncoding) > 0)
		must.Eq(t, framed == framedByClose, resp.Close)
	}
	m.breaking.Add(1)
	for _, framed := range []framing{framedByLength, framedByChunks, framedByClose} {
		for _, stalls := range []bool{true, false} {
			path := pathWith(t, m, func(a behaviour) bool { return a.breaks && a.framing == framed && a.stalls == stalls })
			resp, body, err := ask(t, s, path)
			must.Error(t, err, must.Sprint("a part that the caller can't tell from the whole"))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.StrHasPrefix(t, body, Answer("i-1", path))
		}
	}
	must.NoError(t, s.http.Shutdown(t.Context())) // what is noted at the end of a run has been
	whole := 0
	for _, a := range arrivals(s, "zone") {
		must.True(t, a.Work > 0)
		if !a.Whole.IsZero() {
			whole++
		}
		must.NotEq(t, a.Breaks, !a.Whole.IsZero())
	}
	must.Eq(t, 3, whole)
	must.Len(t, 9, s.Seen())
}
