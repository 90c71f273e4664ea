package inbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// stalledWriter is the response writer of a caller that reads nothing. Write blocks until
// gone is closed or the write deadline passes.
type stalledWriter struct {
	*httptest.ResponseRecorder
	gone, expired chan struct{}
}

func newStalledWriter(gone chan struct{}) stalledWriter {
	return stalledWriter{httptest.NewRecorder(), gone, make(chan struct{})}
}

// Write implements http.ResponseWriter.
func (s stalledWriter) Write([]byte) (int, error) {
	select {
	case <-s.gone:
		return 0, io.ErrClosedPipe
	case <-s.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline implements the method that http.ResponseController calls. It must be
// called at most once.
func (s stalledWriter) SetWriteDeadline(at time.Time) error {
	time.AfterFunc(time.Until(at), func() { close(s.expired) })
	return nil
}

// sendWithoutLength sends a response of 256 KB without a Content-Length, in two parts.
func sendWithoutLength(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 128<<10))
	_ = http.NewResponseController(w).Flush()
	_, _ = w.Write(make([]byte, 128<<10))
}

// Guards against a run that has ended but holds its slot because the entry node delays
// reading the response.
func TestSlotIsReleasedAtDeadlineOfUnreadResponse(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, sendWithoutLength)
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		resp, err := g.RoundTrip(requestTo(i, model.KindInteractive))
		must.NoError(t, err)
		defer resp.Body.Close()
		must.Eq(t, http.StatusOK, resp.StatusCode)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		must.Eq(t, 0, g.Load().Used)
	})
}

func TestSlotIsReleasedAtDeadlineOfStalledCaller(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, sendWithoutLength)
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		gone := make(chan struct{})
		defer close(gone)
		go func() {
			defer func() { _ = recover() }() // the handler aborts
			g.ServeHTTP(newStalledWriter(gone), requestTo(i, model.KindInteractive))
		}()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		must.Eq(t, 0, g.Load().Used)
	})
}

// Guards against callers that read nothing and so block the large responses of others after
// their own deadline.
func TestStalledCallersDoNotBlockOtherLargeResponses(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "65536")
		_, _ = w.Write(make([]byte, 64<<10))
	})
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		g.sending = make(chan struct{}, maxConcurrentSends)
		gone := make(chan struct{})
		defer close(gone)
		for range maxConcurrentSends {
			go func() {
				defer func() { _ = recover() }() // the handler aborts
				g.ServeHTTP(newStalledWriter(gone), requestTo(i, model.KindBulk))
			}()
		}
		time.Sleep(6 * time.Second)
		w, sent := httptest.NewRecorder(), 0
		go func() {
			defer func() { _ = recover() }() // the handler aborts
			r := requestTo(i, model.KindBulk)
			g.ServeHTTP(w, r.WithContext(t.Context()))
			sent = w.Body.Len()
		}()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		must.Eq(t, 64<<10, sent)
	})
}
