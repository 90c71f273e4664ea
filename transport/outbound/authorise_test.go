package outbound

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/dialect"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/route"
)

// bearerDialect is a dialect whose callers send their key in the Authorization header.
type bearerDialect struct{ plainDialect }

func (bearerDialect) Key(h dialect.Header) string        { return http.Header(h).Get("Authorization") }
func (bearerDialect) StripKey(h dialect.Header)          { delete(h, "Authorization") }
func (bearerDialect) Mark(dialect.Header, dialect.Marks) {}

// proof is a proof of the configuration with fixed values.
type proof struct {
	left   time.Duration
	recent bool
}

func (p proof) Left() time.Duration { return p.left }
func (p proof) Recent() bool        { return p.recent }

// quota has a fixed number of tokens.
type quota struct{ left int }

func (q *quota) Take(context.Context, *route.Organisation, bool) (time.Duration, bool) {
	if q.left == 0 {
		return 250 * time.Millisecond, false
	}
	q.left--
	return 0, true
}

func (q *quota) Return(*route.Organisation) { q.left++ }

const key = "k3y"

// newKeyedProxy returns a proxy whose configuration requires keys; its requests all go to g.
func newKeyedProxy(t *testing.T, g http.RoundTripper) *Proxy {
	p := newProxy(t, model.KindInteractive, 3, g)
	priority := 0
	table, err := route.NewTable(route.Config{
		Version:  2,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: model.KindInteractive, Priority: 3, Attempts: 2,
			Timeout: time.Second, Target: target, Splits: []route.Split{{Service: "s", Weight: 1}},
		}},
		Organisations: []route.Organisation{{
			Name: "firm", Keys: []string{key}, Priority: &priority, Quota: &model.Rate{PerSecond: 1, Burst: 1},
		}},
	}, route.Policy{})
	must.NoError(t, err)
	p.cfg.Table = func() *route.Table { return table }
	p.cfg.Dialect = bearerDialect{}
	return p
}

func getWithKey(p *Proxy, key string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	if key != "" {
		r.Header.Set("Authorization", key)
	}
	p.ServeHTTP(w, r)
	return w
}

// The response to a known or an unknown key depends on how recently the configuration was
// proved: a key that is missing in it may belong to a newer version.
func TestProofDecidesTheStatusForAKey(t *testing.T) {
	for name, c := range map[string]struct {
		proof  Freshness
		key    string
		status int
	}{
		"known, nothing to prove":   {nil, key, 200},
		"known, proved":             {proof{time.Second, true}, key, 200},
		"known, proved a while ago": {proof{time.Second, false}, key, 200},
		"known, not proved":         {proof{0, false}, key, 503},
		"unknown, nothing to prove": {nil, "other", 401},
		"unknown, just proved":      {proof{time.Second, true}, "other", 401},
		"unknown, proved earlier":   {proof{time.Second, false}, "other", 503},
		"none, just proved":         {proof{time.Second, true}, "", 401},
	} {
		p := newKeyedProxy(t, &gates{answer: answerAll})
		p.cfg.Freshness = c.proof
		w := getWithKey(p, c.key)
		must.Eq(t, c.status, w.Code, must.Sprint(name))
		must.Eq(t, c.status == 503, w.Header().Get("Retry-After") != "", must.Sprint(name))
	}
}

// A request isn't sent again once the proof of the configuration has expired: its key may have
// been revoked since the first attempt.
func TestRequestWhoseProofEndsIsNotSentAgain(t *testing.T) {
	g := &gates{answer: refuseAll}
	p := newKeyedProxy(t, g)
	p.cfg.Freshness = &expiringProof{checksLeft: 2} // one check on arrival, one before the first send
	must.Eq(t, 503, getWithKey(p, key).Code)
	must.Len(t, 1, g.dueMillis)
}

// expiringProof is a proof that expires after a number of checks.
type expiringProof struct{ checksLeft int }

func (p *expiringProof) Left() time.Duration {
	if p.checksLeft--; p.checksLeft >= 0 {
		return time.Hour
	}
	return 0
}
func (p *expiringProof) Recent() bool { return true }

// A request over the quota is refused with a Retry-After delay and isn't sent to any gate.
func TestRequestOverQuotaIsRefusedUnsent(t *testing.T) {
	g := &gates{answer: answerAll}
	p := newKeyedProxy(t, g)
	p.cfg.Quotas = &quota{left: 1}
	must.Eq(t, 200, getWithKey(p, key).Code)
	w := getWithKey(p, key)
	must.Eq(t, 429, w.Code)
	must.Eq(t, "0.250", w.Header().Get("Retry-After"))
	must.Len(t, 1, g.dueMillis)
}

// A request that no backend server has received isn't charged to the quota.
func TestRefusedRequestIsNotCharged(t *testing.T) {
	q := &quota{left: 1}
	p := newKeyedProxy(t, &gates{answer: refuseAll})
	p.cfg.Quotas = q
	must.Eq(t, 503, getWithKey(p, key).Code)
	must.Eq(t, 1, q.left)
}

// headerRecorder records the headers of the requests sent to gates.
type headerRecorder struct{ got []http.Header }

func (h *headerRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	h.got = append(h.got, req.Header.Clone())
	return (&gates{answer: answerAll}).RoundTrip(req)
}

// The organisation's priority takes precedence over the route's, and the gate receives the
// organisation's name and the fingerprint, which covers the key, in place of the key.
func TestGateReceivesOrganisationAndPriority(t *testing.T) {
	h := new(headerRecorder)
	p := newKeyedProxy(t, h)
	must.Eq(t, 200, getWithKey(p, key).Code)
	got := h.got[0]
	must.Eq(t, "firm", got.Get(outcome.HeaderOrganisation))
	must.Eq(t, "", got.Get("Authorization"))
	must.NotEq(t, "", got.Get(outcome.HeaderFingerprint))
	u, err := outcome.ParseUrgency(got.Get(outcome.HeaderUrgency))
	must.NoError(t, err)
	must.Eq(t, 0, u.Rank)
}

// Where the proof expires before the request's deadline, the gate receives the time within
// which the request may start.
func TestGateReceivesTheTimeToStartWithin(t *testing.T) {
	for left, want := range map[time.Duration]string{400 * time.Millisecond: "400", time.Hour: ""} {
		h := new(headerRecorder)
		p := newKeyedProxy(t, h)
		p.cfg.Freshness = proof{left, true}
		must.Eq(t, 200, getWithKey(p, key).Code)
		must.Eq(t, want, h.got[0].Get(outcome.HeaderStartWithin))
	}
}
