package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// slowCaller is a Caller that responds after slowResponseTime and grants as many tokens as needed.
type slowCaller struct{}

// slowResponseTime is less than callTimeout.
const slowResponseTime = 50 * time.Millisecond

// Call implements Caller.
func (slowCaller) Call(_ context.Context, _ quota.Member, m *Message) (*Response, error) {
	time.Sleep(slowResponseTime)
	return &Response{Owned: true, Tokens: float64(m.Need)}, nil
}

type organisations = map[string]*route.Organisation

// A request that waits for a token gets it even if the organisation's quota is changed or removed
// in the meantime.
func TestQuotaChangeKeepsWaitingRequests(t *testing.T) {
	for name, change := range map[string]func(name string) organisations{
		"lower":  func(name string) organisations { return quotaOf(name, 1) },
		"higher": func(name string) organisations { return quotaOf(name, 1000) },
		"none": func(name string) organisations {
			return organisations{name: {Name: name}}
		},
		"gone": func(string) organisations { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, organisationName := newLimiterWithRemoteOwner(t, slowCaller{})
				o := quotaOf(organisationName, 10)
				l.SetOrganisations(o)
				var all sync.WaitGroup
				began := time.Now()
				for range 6 {
					all.Go(func() {
						_, ok := l.Take(t.Context(), o[organisationName], false)
						must.True(t, ok)
						must.LessEq(t, 2*slowResponseTime, time.Since(began), must.Sprint("a request waits for at most two rounds"))
					})
				}
				time.Sleep(slowResponseTime / 2)
				l.SetOrganisations(change(organisationName))
				all.Wait()
			})
		})
	}
}
