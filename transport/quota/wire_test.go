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

// served returns an owner behind a server, and how many requests passed it by.
func served(t *testing.T) (to quota.Member, passed *int) {
	t.Helper()
	l := New(Config{
		Self: "n0", Zone: "z", Bounds: quota.Config{Zones: 1, Window: 5 * time.Second, Slack: 20},
		Metrics: metrics.NewSet(), Logger: log.NewNopLogger(), Now: time.Now,
	})
	records := endpoint.NewTable()
	records.Put(endpoint.Record{Node: "n0", Zone: "z", Incarnation: 1})
	l.SetMembers(quota.NewTracker("n0", "z", time.Now().Add(-time.Minute)).Update(time.Now(), records))
	l.SetOrganisations(map[string]*route.Organisation{"o": organisation(10, 10)})
	passed = new(int)
	gate := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *passed++ })
	s := httptest.NewServer(Handler(l, gate, log.NewNopLogger()))
	t.Cleanup(s.Close)
	return quota.Member{Node: "n0", Zone: "z", Addr: strings.TrimPrefix(s.URL, "http://")}, passed
}

func TestMessagesGoOverTheWire(t *testing.T) {
	to, passed := served(t)
	client := forward.NewClient(forward.DefaultClientConfig())
	w := &Wire{Zone: "z", Near: client, Far: client}
	a, err := w.Call(t.Context(), to, &Message{Kind: KindAcquire, Organisation: "o", Need: 1})
	must.NoError(t, err)
	must.True(t, a.Owned)
	must.Eq(t, 1, a.Tokens)
	a, err = w.Call(t.Context(), to, &Message{Kind: KindAcquire, Organisation: "nobody", Need: 1})
	must.NoError(t, err)
	must.False(t, a.Owned)
	must.Eq(t, 0, *passed)
}

// Requests of others pass by, also those whose path is that of messages.
func TestRequestsPassToTheGate(t *testing.T) {
	to, passed := served(t)
	resp, err := http.Post("http://"+to.Addr+messagePath, "", nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, 1, *passed)
}

func TestMessagesThatNoNodeSendsAreRefused(t *testing.T) {
	to, _ := served(t)
	for name, body := range map[string][]byte{
		"empty":      nil,
		"too large":  make([]byte, maxBody+1),
		"no CBOR":    []byte("hello"),
		"negative":   must1(encMode.Marshal(&Message{Kind: KindTransfer, Organisation: "o", Want: -1})),
		"no kind":    must1(encMode.Marshal(&Message{Organisation: "o"})),
		"beyond all": must1(encMode.Marshal(&Message{Kind: KindTransfer, Organisation: "o", Want: 1e12})),
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

func must1(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

// Callers can't speak to the ledgers: what only nodes may set is removed.
func TestCallersCantSendMessages(t *testing.T) {
	h := http.Header{outcome.HeaderQuota: {"1"}}
	forward.StripNodeHeaders(h)
	must.MapEmpty(t, h)
}

func TestNobodyListens(t *testing.T) {
	to, _ := served(t)
	to.Addr = "127.0.0.1:1"
	client := forward.NewClient(forward.DefaultClientConfig())
	_, err := (&Wire{Zone: "z", Near: client, Far: client}).Call(context.Background(), to, &Message{Kind: KindAcquire, Organisation: "o"})
	must.Error(t, err)
	var s suspects
	must.True(t, s.add("n0", time.Now(), err))
	must.True(t, s.gone("n0", time.Now()), must.Sprint("a refused connection tells at once"))
}
