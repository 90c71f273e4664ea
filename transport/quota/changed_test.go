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

// slow is a Caller whose answers come after a while and give what is needed.
type slow struct{}

// slowAnswer is below the time that a call may take.
const slowAnswer = 50 * time.Millisecond

// Call implements Caller.
func (slow) Call(_ context.Context, _ quota.Member, m *Message) (*Answer, error) {
	time.Sleep(slowAnswer)
	return &Answer{Owned: true, Tokens: float64(m.Need)}, nil
}

type organisations = map[string]*route.Organisation

func TestRequestThatWaitsForATokenOutlivesAChangeOfItsQuota(t *testing.T) {
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
				l, of := elsewhere(t, slow{})
				o := quotaOf(of, 10)
				l.SetOrganisations(o)
				var all sync.WaitGroup
				began := time.Now()
				for range 6 {
					all.Go(func() {
						_, ok := l.Take(t.Context(), o[of], false)
						must.True(t, ok)
						must.LessEq(t, 2*slowAnswer, time.Since(began), must.Sprint("nobody waits for more than two rounds"))
					})
				}
				time.Sleep(slowAnswer / 2)
				l.SetOrganisations(change(of))
				all.Wait()
			})
		})
	}
}
