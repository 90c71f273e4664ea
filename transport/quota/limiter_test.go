package quota

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// fixedCaller is a Caller that returns the same response or error for all messages, and counts them.
type fixedCaller struct {
	response *Response
	err      error
	calls    int
}

// Call implements Caller.
func (a *fixedCaller) Call(context.Context, quota.Member, *Message) (*Response, error) {
	a.calls++
	return a.response, a.err
}

// membersOf returns n0's view of the given nodes in zone z, which has settled.
func membersOf(nodes ...string) *quota.Members {
	records := endpoint.NewTable()
	for _, n := range nodes {
		records.Put(endpoint.Record{Node: model.NodeID(n), Zone: "z", Incarnation: 1})
	}
	return quota.NewTracker("n0", "z", time.Now().Add(-time.Minute)).Update(time.Now(), records)
}

// newLimiterWithRemoteOwner returns n0's Limiter, and the name of an organisation whose ledger n1 owns.
func newLimiterWithRemoteOwner(t *testing.T, c Caller) (*Limiter, string) {
	t.Helper()
	l := New(Config{
		Self: "n0", Zone: "z", Bounds: quota.Config{Zones: 1, Window: 5 * time.Second, Slack: 20},
		Caller: c, Metrics: metrics.NewSet(), Logger: log.NewNopLogger(), Now: time.Now,
	})
	m := membersOf("n0", "n1")
	l.SetMembers(m)
	for i := range 100 {
		name := fmt.Sprint("o", i)
		if first, _ := m.Owners("z", name); first.Node == "n1" {
			return l, name
		}
	}
	t.Fatal("n1 owns the ledger of none of 100 organisations")
	return nil, ""
}

// quotaOf returns a configuration with one organisation that has a quota.
func quotaOf(name string, perSecond float64) map[string]*route.Organisation {
	return map[string]*route.Organisation{name: {Name: name, Quota: &model.Rate{PerSecond: perSecond, Burst: 10}}}
}

// If a call to the owner fails because its caller has cancelled, the owner doesn't become suspect.
func TestCancelledCallMarksNoNodeSuspect(t *testing.T) {
	c := &fixedCaller{err: context.Canceled}
	l, name := newLimiterWithRemoteOwner(t, c)
	l.SetOrganisations(quotaOf(name, 10))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.HandleMessage(ctx, &Message{Kind: KindAcquire, Organisation: name, Need: 1})
	must.Eq(t, 1, c.calls)
	must.MapEmpty(t, l.suspects.nodes)
}

// The state of nodes that have left the fleet, and the loans of organisations that no longer have a
// quota, are dropped.
func TestStateOfRemovedNodesAndQuotasIsDropped(t *testing.T) {
	l, name := newLimiterWithRemoteOwner(t, &fixedCaller{err: errMessageLost})
	l.SetOrganisations(quotaOf(name, 10))
	l.Take(t.Context(), quotaOf(name, 10)[name], false)
	must.MapLen(t, 1, l.suspects.nodes)
	l.SetMembers(membersOf("n0"))
	must.MapEmpty(t, l.suspects.nodes)
	l.borrow(t.Context(), name, model.Rate{PerSecond: 10, Burst: 10}, 1)
	l.SetOrganisations(nil)
	held := 0
	l.loans.Range(func(_, _ any) bool { held++; return true })
	must.Eq(t, 0, held)
}

// A node takes no more tokens from an owner's response than it requested.
func TestGrantIsCappedAtRequestedTokens(t *testing.T) {
	l, name := newLimiterWithRemoteOwner(t, &fixedCaller{response: &Response{Owned: true, Tokens: 1000}})
	o := quotaOf(name, 10)
	l.SetOrganisations(o)
	_, ok := l.Take(t.Context(), o[name], false)
	must.True(t, ok)
	must.False(t, l.queue(o[name]).Lease.Take(time.Now()))
}

// A node sends no message with a name that is too long, since its rejection would make the owner
// suspect for the other organisations too.
func TestOverlongNameMarksNoNodeSuspect(t *testing.T) {
	c := &fixedCaller{err: &StatusError{Status: 400}}
	l, _ := newLimiterWithRemoteOwner(t, c)
	name := strings.Repeat("o", maxNameBytes+1)
	o := quotaOf(name, 10)
	l.SetOrganisations(o)
	l.Take(t.Context(), o[name], false)
	must.Eq(t, 0, c.calls)
	must.MapEmpty(t, l.suspects.nodes)
	must.Error(t, (&Message{Kind: KindAcquire, Organisation: name}).check())
}

// A request that holds an older configuration doesn't restore the older quota.
func TestRequestWithOldConfigurationKeepsNewQuota(t *testing.T) {
	l, name := newLimiterWithRemoteOwner(t, &fixedCaller{err: errMessageLost})
	l.SetOrganisations(quotaOf(name, 3))
	q := l.queue(quotaOf(name, 300)[name])
	must.Eq(t, 3, q.Request(time.Now(), name, 1).Rate.PerSecond)
}

// hangingCaller is a Caller that never responds; its calls end with their context.
type hangingCaller struct{}

// Call implements Caller.
func (hangingCaller) Call(ctx context.Context, _ quota.Member, _ *Message) (*Response, error) {
	<-ctx.Done()
	return nil, errMessageLost
}

// A request stops waiting when its caller cancels it, while the call for the round is still in
// progress.
func TestCancelledRequestStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, name := newLimiterWithRemoteOwner(t, hangingCaller{})
		o := quotaOf(name, 10)
		l.SetOrganisations(o)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		sent := time.Now()
		_, ok := l.Take(ctx, o[name], false)
		must.False(t, ok)
		must.Eq(t, time.Millisecond, time.Since(sent))
		time.Sleep(time.Second)
	})
}
