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

// stopped is a caller that takes nothing until it is let go.
type stopped struct {
	*httptest.ResponseRecorder
	gone, late chan struct{}
}

func newStopped(gone chan struct{}) stopped {
	return stopped{httptest.NewRecorder(), gone, make(chan struct{})}
}

// Write implements http.ResponseWriter.
func (s stopped) Write([]byte) (int, error) {
	select {
	case <-s.gone:
		return 0, io.ErrClosedPipe
	case <-s.late:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline implements what http.ResponseController looks for, once.
func (s stopped) SetWriteDeadline(at time.Time) error {
	time.AfterFunc(time.Until(at), func() { close(s.late) })
	return nil
}

// withoutLength sends an answer of 256 KB without a length, in two parts.
func withoutLength(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 128<<10))
	_ = http.NewResponseController(w).Flush()
	_, _ = w.Write(make([]byte, 128<<10))
}

// A run that has ended must not hold its slot for an entry node that waits for its turn.
func TestSlotIsFreeAfterTheDeadlineOfAnAnswerThatNobodyReads(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, withoutLength)
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

func TestSlotIsFreeAfterTheDeadlineOfACallerThatTakesNothing(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, withoutLength)
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		gone := make(chan struct{})
		defer close(gone)
		go func() {
			defer func() { _ = recover() }() // the handler aborts
			g.ServeHTTP(newStopped(gone), requestTo(i, model.KindInteractive))
		}()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		must.Eq(t, 0, g.Load().Used)
	})
}

// Callers that take nothing must not keep large answers from others after their deadline.
func TestCallersThatTakeNothingHoldUpNoOtherLargeAnswer(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "65536")
		_, _ = w.Write(make([]byte, 64<<10))
	})
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		g.sending = make(chan struct{}, maxSending)
		gone := make(chan struct{})
		defer close(gone)
		for range maxSending {
			go func() {
				defer func() { _ = recover() }() // the handler aborts
				g.ServeHTTP(newStopped(gone), requestTo(i, model.KindBulk))
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
