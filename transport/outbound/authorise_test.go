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

// bearer is a dialect whose callers show their key in one header.
type bearer struct{ plain }

func (bearer) Key(h dialect.Header) string        { return http.Header(h).Get("Authorization") }
func (bearer) StripKey(h dialect.Header)          { delete(h, "Authorization") }
func (bearer) Mark(dialect.Header, dialect.Marks) {}

// proof is a fixed proof of the configuration.
type proof struct {
	left   time.Duration
	recent bool
}

func (p proof) Left() time.Duration { return p.left }
func (p proof) Recent() bool        { return p.recent }

// quota lets a number of requests in.
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

// newKeyedProxy returns a proxy whose callers show keys, and whose gates are all g.
func newKeyedProxy(t *testing.T, g http.RoundTripper) *Proxy {
	p := newProxy(t, model.KindInteractive, 3, g)
	urgent := 0
	table, err := route.NewTable(route.Config{
		Version:  2,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: model.KindInteractive, Priority: 3, Attempts: 2,
			Timeout: time.Second, Target: target, Splits: []route.Split{{Service: "s", Weight: 1}},
		}},
		Organisations: []route.Organisation{{
			Name: "firm", Keys: []string{key}, Priority: &urgent, Quota: &model.Rate{PerSecond: 1, Burst: 1},
		}},
	}, route.Policy{})
	must.NoError(t, err)
	p.cfg.Table = func() *route.Table { return table }
	p.cfg.Dialect = bearer{}
	return p
}

func askWith(p *Proxy, shown string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	if shown != "" {
		r.Header.Set("Authorization", shown)
	}
	p.ServeHTTP(w, r)
	return w
}

// What a caller with a known or an unknown key is told depends on how well the
// configuration is proved: a key that the node doesn't know may be one of a newer version.
func TestProofDecidesWhatACallerIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		proof  Currency
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
		p := newKeyedProxy(t, &gates{answer: answered})
		p.cfg.Currency = c.proof
		w := askWith(p, c.key)
		must.Eq(t, c.status, w.Code, must.Sprint(name))
		must.Eq(t, c.status == 503, w.Header().Get("Retry-After") != "", must.Sprint(name))
	}
}

// A request whose key is taken away while it is tried isn't sent again.
func TestRequestWhoseProofEndsIsNotSentAgain(t *testing.T) {
	g := &gates{answer: full}
	p := newKeyedProxy(t, g)
	p.cfg.Currency = &endingProof{lasts: 2} // one look as it arrives, one before the first send
	must.Eq(t, 503, askWith(p, key).Code)
	must.Len(t, 1, g.waits)
}

// endingProof holds for a number of looks.
type endingProof struct{ lasts int }

func (p *endingProof) Left() time.Duration {
	if p.lasts--; p.lasts >= 0 {
		return time.Hour
	}
	return 0
}
func (p *endingProof) Recent() bool { return true }

// A request beyond the quota is told when to come back and reaches no gate.
func TestRequestBeyondTheQuotaIsTurnedAwayAtOnce(t *testing.T) {
	g := &gates{answer: answered}
	p := newKeyedProxy(t, g)
	p.cfg.Quotas = &quota{left: 1}
	must.Eq(t, 200, askWith(p, key).Code)
	w := askWith(p, key)
	must.Eq(t, 429, w.Code)
	must.Eq(t, "0.250", w.Header().Get("Retry-After"))
	must.Len(t, 1, g.waits)
}

// What no backend server has got is not charged.
func TestRefusedRequestIsNotCharged(t *testing.T) {
	q := &quota{left: 1}
	p := newKeyedProxy(t, &gates{answer: full})
	p.cfg.Quotas = q
	must.Eq(t, 503, askWith(p, key).Code)
	must.Eq(t, 1, q.left)
}

// heads keeps the headers that gates get.
type heads struct{ got []http.Header }

func (h *heads) RoundTrip(req *http.Request) (*http.Response, error) {
	h.got = append(h.got, req.Header.Clone())
	return (&gates{answer: answered}).RoundTrip(req)
}

// The organisation's priority goes before the route's, its name takes the place of the
// key, and the fingerprint that covers the key is passed on in its place.
func TestGateIsToldTheOrganisationAndItsPriority(t *testing.T) {
	h := new(heads)
	p := newKeyedProxy(t, h)
	must.Eq(t, 200, askWith(p, key).Code)
	got := h.got[0]
	must.Eq(t, "firm", got.Get(outcome.HeaderOrganisation))
	must.Eq(t, "", got.Get("Authorization"))
	must.NotEq(t, "", got.Get(outcome.HeaderFingerprint))
	u, err := outcome.ParseUrgency(got.Get(outcome.HeaderUrgency))
	must.NoError(t, err)
	must.Eq(t, 0, u.Rank)
}

// Where the proof ends before the request does, the gate is told until when it may start.
func TestGateIsToldUntilWhenTheRequestMayStart(t *testing.T) {
	for left, want := range map[time.Duration]string{400 * time.Millisecond: "400", time.Hour: ""} {
		h := new(heads)
		p := newKeyedProxy(t, h)
		p.cfg.Currency = proof{left, true}
		must.Eq(t, 200, askWith(p, key).Code)
		must.Eq(t, want, h.got[0].Get(outcome.HeaderStartWithin))
	}
}
