package outbound

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestStreamedResponsesAreDeliveredAfterTheirDeadline(t *testing.T) {
	events := "data: 1\n\n"
	large := strings.Repeat("x", 60<<10) // more than the proxy buffers, less than the connection holds for a later turn
	for name, test := range map[string]struct {
		length      int64
		contentType string
		body        string
	}{
		"events":                        {-1, "text/event-stream", events},
		"large, with a length":          {int64(len(large)), "text/plain", large},
		"large, without a length":       {-1, "text/plain", large},
		"large, events with their size": {int64(len(large)), "text/event-stream", large},
	} {
		t.Run(name, func(t *testing.T) {
			late := make(chan struct{})
			p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
				switch r.URL.Path {
				case "/slow":
					<-late
				case "/passed-on":
					context.AfterFunc(r.Context(), func() { close(late) })
					resp := relayedResponse(test.length, contextReader{r.Context(), strings.NewReader(test.body)})
					resp.Header.Set("Content-Type", test.contentType)
					return resp, nil
				}
				return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
			})
			must.Eq(t, []string{"/slow", test.body, "/behind"}, pipeline(t, p, "/slow", "/passed-on", "/behind"))
		})
	}
}
