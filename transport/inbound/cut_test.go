package inbound

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/instance"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// requestTo returns a request of an entry node that has 5 s.
func requestTo(i *instance.Instance, kind model.ClassKind) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	r.Header.Set(outcome.HeaderService, "s")
	r.Header.Set(outcome.HeaderInstance, i.Key())
	r.Header.Set(outcome.HeaderKind, string(kind))
	r.Header.Set(outcome.HeaderDeadline, "5000")
	r.Header.Set(outcome.HeaderUrgency, "500/500/1")
	r.Header.Set(outcome.HeaderLinkWait, "5000")
	return r
}

// breaksOff sends a part of an answer of 9 bytes.
func breaksOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "9")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// deaf is a caller that can't be written to.
type deaf struct{ *httptest.ResponseRecorder }

func (deaf) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestGateTellsOfAnswersThatBreakOff(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		kind   model.ClassKind
		w      http.ResponseWriter
		aborts bool
		cause  string
	}{
		"passed on":   {breaksOff, model.KindInteractive, httptest.NewRecorder(), true, "response cut short: unexpected EOF"},
		"held whole":  {breaksOff, model.KindBulk, httptest.NewRecorder(), false, "response cut short: unexpected EOF"},
		"caller gone": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "part") }, model.KindInteractive, deaf{httptest.NewRecorder()}, true, "caller went away: gone"},
	} {
		g, i := newGate(t, attempt.NewRuns(), 0, c.answer)
		var lines bytes.Buffer
		g.cfg.Details = log.NewLogfmtLogger(&lines)
		aborted := func() (aborted bool) {
			defer func() { aborted = recover() == http.ErrAbortHandler }()
			g.ServeHTTP(c.w, requestTo(i, c.kind))
			return false
		}()
		must.Eq(t, c.aborts, aborted, must.Sprint(name))
		length := "9"
		if name == "caller gone" {
			length = "4"
		}
		want := "event=gate_answer_cut request=id instance=" + i.Key() + " received=4 length=" + length + " err=\"" + c.cause + "\"\n"
		must.Eq(t, want, lines.String(), must.Sprint(name))
	}
}
