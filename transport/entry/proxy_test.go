package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

func read(t testing.TB, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(b)
}

func (b *testBed) do(t testing.TB, r *http.Request) *http.Response {
	t.Helper()
	resp, err := b.client.Do(r)
	must.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// Each caller gets the response to its own request, even while other requests are slow
// or cancelled.
func TestResponsesAreNotCrossed(t *testing.T) {
	b := newTestBed()
	b.work = backend.New(backend.Config{Slots: 200, Faults: backend.Faults{SpreadMillis: 20, ServiceMillis: 10}})
	b.start(t)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			for j := range 5 {
				want := fmt.Sprintf("caller %d call %d", i, j)
				ctx, cancel := context.WithCancel(t.Context())
				if i%5 == 0 && j%2 == 0 {
					cancel() // its response must not reach another request
				}
				r := b.request(t, "POST", "/echo", want).WithContext(ctx)
				r.Header.Set(backend.HeaderRequestID, want)
				resp, err := b.client.Do(r)
				if err == nil {
					var a backend.Answer
					must.NoError(t, json.Unmarshal([]byte(read(t, resp)), &a))
					must.Eq(t, want, a.Echo)
					must.Eq(t, want, a.ID)
					must.Eq(t, string(outcome.Answered), resp.Header.Get(outcome.HeaderOutcome))
				}
				cancel()
			}
		})
	}
	wg.Wait()
}

// Between Leave and Shutdown, each connection is closed with its next response or
// refusal, so that none in use is idle when Shutdown closes idle connections.
func TestLeavingEndsConnections(t *testing.T) {
	b := newTestBed().start(t)
	must.False(t, b.do(t, b.request(t, "GET", "/x", "")).Close)
	b.proxy.Leave()
	must.True(t, b.do(t, b.request(t, "GET", "/x", "")).Close)
	must.NoError(t, b.registry.Drain(true))
	must.True(t, b.do(t, b.request(t, "GET", "/x", "")).Close)
}
