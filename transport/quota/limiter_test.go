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

// answers is a Caller that answers all messages alike, and counts them.
type answers struct {
	answer *Answer
	err    error
	calls  int
}

// Call implements Caller.
func (a *answers) Call(context.Context, quota.Member, *Message) (*Answer, error) {
	a.calls++
	return a.answer, a.err
}

func membersOf(nodes ...string) *quota.Members {
	records := endpoint.NewTable()
	for _, n := range nodes {
		records.Put(endpoint.Record{Node: model.NodeID(n), Zone: "z", Incarnation: 1})
	}
	return quota.NewTracker("n0", "z", time.Now().Add(-time.Minute)).Update(time.Now(), records)
}

// elsewhere returns n0's Limiter, and the name of an organisation that n1 owns the ledger of.
func elsewhere(t *testing.T, c Caller) (*Limiter, string) {
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
	t.Fatal("n1 owns nothing")
	return nil, ""
}

func quotaOf(name string, perSecond float64) map[string]*route.Organisation {
	return map[string]*route.Organisation{name: {Name: name, Quota: &model.Rate{PerSecond: perSecond, Burst: 10}}}
}

// That an asker has gone says nothing about the owner that it was asked for.
func TestAskerThatLeavesMakesNobodySuspect(t *testing.T) {
	c := &answers{err: context.Canceled}
	l, name := elsewhere(t, c)
	l.SetOrganisations(quotaOf(name, 10))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Answer(ctx, &Message{Kind: KindAcquire, Organisation: name, Need: 1})
	must.Eq(t, 1, c.calls)
	must.MapEmpty(t, l.suspects.nodes)
}

// Nodes that have left the fleet and organisations without a quota leave nothing behind.
func TestNothingIsHeldOfWhatHasLeft(t *testing.T) {
	l, name := elsewhere(t, &answers{err: errLost})
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

// An owner's answer gives no more than was asked for.
func TestAnswerGivesNoMoreThanWasAsked(t *testing.T) {
	l, name := elsewhere(t, &answers{answer: &Answer{Owned: true, Tokens: 1000}})
	o := quotaOf(name, 10)
	l.SetOrganisations(o)
	_, ok := l.Take(t.Context(), o[name], false)
	must.True(t, ok)
	must.False(t, l.queue(o[name]).Lease.Take(time.Now()))
}

// A name that fits into no message is not sent, since its refusal would make the owner
// suspect for the other organisations too.
func TestLongNameMakesNobodySuspect(t *testing.T) {
	c := &answers{err: &StatusError{Status: 400}}
	l, _ := elsewhere(t, c)
	name := strings.Repeat("o", maxName+1)
	o := quotaOf(name, 10)
	l.SetOrganisations(o)
	l.Take(t.Context(), o[name], false)
	must.Eq(t, 0, c.calls)
	must.MapEmpty(t, l.suspects.nodes)
	must.Error(t, (&Message{Kind: KindAcquire, Organisation: name}).check())
}

// A request that still holds the configuration before this one doesn't bring its quota back.
func TestOldRequestBringsNoOldQuotaBack(t *testing.T) {
	l, name := elsewhere(t, &answers{err: errLost})
	l.SetOrganisations(quotaOf(name, 3))
	q := l.queue(quotaOf(name, 300)[name])
	must.Eq(t, 3, q.Request(time.Now(), name, 1).Rate.PerSecond)
}

// hangs is a Caller that answers nothing until it is given up.
type hangs struct{}

// Call implements Caller.
func (hangs) Call(ctx context.Context, _ quota.Member, _ *Message) (*Answer, error) {
	<-ctx.Done()
	return nil, errLost
}

// A request whose caller has left doesn't wait for the answer that others wait for.
func TestCallerThatLeavesWaitsNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, name := elsewhere(t, hangs{})
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
