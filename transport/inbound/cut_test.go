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

// requestTo returns an entry node's request with a deadline in 5 s.
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

// sendTruncated sends 4 bytes of a response of 9 bytes and then closes the connection.
func sendTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "9")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// brokenWriter is a response writer of a caller whose connection is closed.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("gone") }

func TestTruncatedResponsesAreLogged(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		kind    model.ClassKind
		w       http.ResponseWriter
		aborts  bool
		cause   string
	}{
		"passed on":   {sendTruncated, model.KindInteractive, httptest.NewRecorder(), true, "response cut short: unexpected EOF"},
		"held whole":  {sendTruncated, model.KindBulk, httptest.NewRecorder(), false, "response cut short: unexpected EOF"},
		"caller gone": {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "part") }, model.KindInteractive, brokenWriter{httptest.NewRecorder()}, true, "caller went away: gone"},
	} {
		g, i := newGate(t, attempt.NewRuns(), 0, c.handler)
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
