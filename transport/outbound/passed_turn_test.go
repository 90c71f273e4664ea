package outbound

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

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

// Guards against a large response that is begun although its body has ended unread at its deadline: the
// gate beside the backend server ends it before this node does.
func TestLargeResponseIsNotBegunAfterItsDeadline(t *testing.T) {
	const bodyEnd = time.Second + callerGrace/2 // behind the route's timeout
	late := make(chan struct{})
	large := strings.Repeat("x", 1<<20)
	p := proxyWithGate(t, func(r *http.Request) (*http.Response, error) {
		switch r.URL.Path {
		case "/slow":
			<-late
		case "/large":
			ctx, end := context.WithCancel(r.Context())
			time.AfterFunc(bodyEnd, func() {
				end()
				close(late)
			})
			return relayedResponse(int64(len(large)), contextReader{ctx, strings.NewReader(large)}), nil
		}
		return relayedResponse(int64(len(r.URL.Path)), strings.NewReader(r.URL.Path)), nil
	})
	must.Eq(t, []string{"/slow", "", "/behind"}, pipeline(t, p, "/slow", "/large", "/behind"))
}
