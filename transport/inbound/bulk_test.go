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

// bounded keeps the deadlines for writing that were set.
type bounded struct {
	*httptest.ResponseRecorder
	set []time.Time
}

// SetWriteDeadline implements what http.ResponseController looks for.
func (b *bounded) SetWriteDeadline(at time.Time) error {
	b.set = append(b.set, at)
	return nil
}

// The deadline for a large answer must not end the next one on its connection.
func TestDeadlineForWritingEndsWithItsAnswer(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<10))
	})
	w := &bounded{ResponseRecorder: httptest.NewRecorder()}
	g.ServeHTTP(w, requestTo(i, model.KindBulk))
	must.Eq(t, 64<<10, w.Body.Len())
	must.SliceLen(t, 2, w.set)
	must.False(t, w.set[0].IsZero())
	must.True(t, w.set[1].IsZero())
}
