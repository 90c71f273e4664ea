package inbound

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// deadlineRecorder is a response writer that records the write deadlines set on it.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	set []time.Time
}

// SetWriteDeadline implements the method that http.ResponseController calls.
func (b *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	b.set = append(b.set, at)
	return nil
}

// Guards against a write deadline of a large response that also ends the next response on
// the same connection.
func TestWriteDeadlineIsClearedAfterResponse(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<10))
	})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	g.ServeHTTP(w, requestTo(i, model.KindBulk))
	must.Eq(t, 64<<10, w.Body.Len())
	must.SliceLen(t, 2, w.set)
	must.False(t, w.set[0].IsZero())
	must.True(t, w.set[1].IsZero())
}
