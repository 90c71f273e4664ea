package quota

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/route"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// newOwnerServer starts an HTTP server with the Handler of an owner. It returns the owner, and the
// number of requests that its Handler has forwarded to the gate.
func newOwnerServer(t *testing.T) (to quota.Member, forwarded *int) {
	t.Helper()
	l := New(Config{
		Self: "n0", Zone: "z", Bounds: quota.Config{Zones: 1, Window: 5 * time.Second, Slack: 20},
		Metrics: metrics.NewSet(), Logger: log.NewNopLogger(), Now: time.Now,
	})
	records := endpoint.NewTable()
	records.Put(endpoint.Record{Node: "n0", Zone: "z", Incarnation: 1})
	l.SetMembers(quota.NewTracker("n0", "z", time.Now().Add(-time.Minute)).Update(time.Now(), records))
	l.SetOrganisations(map[string]*route.Organisation{"o": organisation(10, 10)})
	forwarded = new(int)
	gate := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *forwarded++ })
	s := httptest.NewServer(Handler(l, gate, log.NewNopLogger()))
	t.Cleanup(s.Close)
	return quota.Member{Node: "n0", Zone: "z", Addr: strings.TrimPrefix(s.URL, "http://")}, forwarded
}

func TestMessageRoundTripOverHTTP(t *testing.T) {
	to, forwarded := newOwnerServer(t)
	client := forward.NewClient(forward.DefaultClientConfig())
	w := &HTTPCaller{Zone: "z", SameZone: client, OtherZones: client}
	a, err := w.Call(t.Context(), to, &Message{Kind: KindAcquire, Organisation: "o", Need: 1})
	must.NoError(t, err)
	must.True(t, a.Owned)
	must.Eq(t, 1, a.Tokens)
	a, err = w.Call(t.Context(), to, &Message{Kind: KindAcquire, Organisation: "nobody", Need: 1})
	must.NoError(t, err)
	must.False(t, a.Owned)
	must.Eq(t, 0, *forwarded)
}

// A request without the header is forwarded to the gate, even if its path is that of messages.
func TestOtherRequestsAreForwardedToTheGate(t *testing.T) {
	to, forwarded := newOwnerServer(t)
	resp, err := http.Post("http://"+to.Addr+messagePath, "", nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 1, *forwarded)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	to, _ := newOwnerServer(t)
	for name, body := range map[string][]byte{
		"empty":      nil,
		"too large":  make([]byte, maxMessageBytes+1),
		"no CBOR":    []byte("hello"),
		"negative":   mustBytes(encMode.Marshal(&Message{Kind: KindTransfer, Organisation: "o", Want: -1})),
		"no kind":    mustBytes(encMode.Marshal(&Message{Organisation: "o"})),
		"beyond all": mustBytes(encMode.Marshal(&Message{Kind: KindTransfer, Organisation: "o", Want: 1e12})),
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+to.Addr+messagePath, bytes.NewReader(body))
		must.NoError(t, err)
		req.Header[outcome.HeaderQuota] = []string{"1"}
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusBadRequest, resp.StatusCode, must.Sprint(name))
	}
}

func mustBytes(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

// Callers can't send messages to ledgers, since the header that marks messages is stripped.
func TestQuotaHeaderFromCallersIsStripped(t *testing.T) {
	h := http.Header{outcome.HeaderQuota: {"1"}}
	forward.StripNodeHeaders(h)
	must.MapEmpty(t, h)
}

func TestRefusedConnectionMarksNodeGone(t *testing.T) {
	to, _ := newOwnerServer(t)
	to.Addr = "127.0.0.1:1"
	client := forward.NewClient(forward.DefaultClientConfig())
	_, err := (&HTTPCaller{Zone: "z", SameZone: client, OtherZones: client}).Call(context.Background(), to, &Message{Kind: KindAcquire, Organisation: "o"})
	must.Error(t, err)
	var s suspects
	must.True(t, s.add("n0", time.Now(), err))
	must.True(t, s.gone("n0", time.Now()), must.Sprint("a refused connection marks the node as gone at once"))
}
