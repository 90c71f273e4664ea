package inbound

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Entry nodes choose backend servers by their mean service time. The time in which a caller
// doesn't read the response must not count towards it.
func TestUnreadTimeIsNotServiceTime(t *testing.T) {
	g, i := newGate(t, attempt.NewRuns(), 0, sendWithoutLength)
	synctest.Test(t, func(t *testing.T) {
		g.Update()
		for range 20 {
			resp, err := g.RoundTrip(requestTo(i, model.KindInteractive))
			must.NoError(t, err)
			time.Sleep(2 * time.Second)
			n, err := io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			must.Eq(t, 256<<10, n)
			must.NoError(t, resp.Body.Close())
		}
		resp, err := g.RoundTrip(requestTo(i, model.KindInteractive))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, "1/2/0", resp.Header.Get(outcome.HeaderLoad))
		must.Eq(t, "", resp.Header.Get(outcome.HeaderMeanServiceTime))
	})
}
