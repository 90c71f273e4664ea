package callers

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestAnswerThatFailsBeforeItsTurnTakesNoOtherAlong(t *testing.T) {
	for name, test := range map[string]struct {
		fail   func(w http.ResponseWriter)
		status int
	}{
		"handler that breaks off": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
		"handler that breaks off within its answer": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
		"handler that panics": {func(http.ResponseWriter) { panic("fault") }, http.StatusInternalServerError},
		"answer that is too short": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
		}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			failed := make(chan struct{})
			_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/1":
					<-failed
				case "/2":
					defer close(failed)
					test.fail(w)
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c, br := dial(t, addr)
			send(t, c, get("/1")+get("/2")+get("/3"))
			resp, body := answer(t, br)
			must.Eq(t, "200 /1", status(resp)+" "+body)
			resp, _ = answer(t, br)
			must.Eq(t, test.status, resp.StatusCode)
			resp, body = answer(t, br)
			must.Eq(t, "200 /3", status(resp)+" "+body)
		})
	}
}

func status(resp *http.Response) string { return resp.Status[:3] }
