package entry

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// responseSize is the size of the response bodies, in bytes, as in the latency budget
// of the design.
const responseSize = 512

func fixedResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(responseSize))
	_, _ = w.Write(make([]byte, responseSize))
}

// hop is a transport for the hop between entry proxy and gate.
type hop struct {
	name       string
	tls, http2 bool
}

// startHop starts a test bed with the given transport between entry proxy and gate.
func startHop(b *testing.B, h hop) *testBed {
	d := newTestBed()
	d.work = http.HandlerFunc(fixedResponse)
	d.start(b)
	if !h.tls {
		return d
	}
	s := httptest.NewUnstartedServer(d.gate)
	s.EnableHTTP2 = h.http2
	s.StartTLS()
	b.Cleanup(s.Close)
	roots := s.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	roots.MinVersion = tls.VersionTLS13
	cfg := forward.DefaultClientConfig()
	cfg.TLS = roots
	d.cfg.Gate, d.cfg.GateScheme = forward.NewClient(cfg), "https"
	if h.http2 {
		d.cfg.Gate = &http.Transport{TLSClientConfig: roots, ForceAttemptHTTP2: true}
	}
	d.gateURL = "http://" + s.Listener.Addr().String()
	d.serveBy("host-1")
	d.startProxy(b)
	return d
}

// BenchmarkPath measures a whole call of a single caller, direct and through the mesh
// with each transport. Only the ratios are comparable between machines.
func BenchmarkPath(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		s := httptest.NewServer(http.HandlerFunc(fixedResponse))
		defer s.Close()
		measure(b, s.Client(), s.URL)
	})
	for _, h := range []hop{{name: "http1"}, {name: "http1-tls", tls: true}, {name: "http2-tls", tls: true, http2: true}} {
		b.Run(h.name, func(b *testing.B) {
			d := startHop(b, h)
			measure(b, d.client, d.url)
		})
	}
}

func measure(b *testing.B, client *http.Client, url string) {
	b.ReportAllocs()
	times := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		r, _ := http.NewRequest("GET", url+"/rooms/1", nil)
		r.Host = testHost
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != responseSize || err != nil {
			b.Fatal(n, err, resp.Status)
		}
		_ = resp.Body.Close()
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
}

// BenchmarkStages measures the stages of a call that run in the nodes.
func BenchmarkStages(b *testing.B) {
	d := startHop(b, hop{})
	r := httptest.NewRequest("GET", "/rooms/1", nil)
	r.Host = testHost
	r.Header.Set("Accept", "application/json")
	now := time.Now()
	b.Run("decide", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = d.proxy.decide(r, now)
		}
	})
	pl, _ := d.proxy.decide(r, now)
	b.Run("pick", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x := exchange{p: d.proxy, r: r, plan: &pl}
			choice, err := x.pick(now)
			if err != nil {
				b.Fatal(err)
			}
			x.last.choice = choice
			x.reportAttempt(0)
		}
	})
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			x := exchange{p: d.proxy, r: r, plan: &pl, ctx: b.Context(), buffered: true}
			x.last.record = &d.view.Load().Service("rooms")[0]
			x.request(1000)
		}
	})
	b.Run("send-to-backend", func(b *testing.B) {
		b.ReportAllocs()
		rt := forward.NewClient(forward.DefaultClientConfig())
		for b.Loop() {
			addr := d.registry.Current().Addr
			resp, err := forward.Send(rt, forward.NewRequest(b.Context(), r, "http", addr, nil, 0), nil)
			if err != nil {
				b.Fatal(err)
			}
			forward.Drain(resp)
		}
	})
	b.Run("proxy", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.proxy.ServeHTTP(httptest.NewRecorder(), r)
		}
	})
	b.Run("gate", func(b *testing.B) {
		b.ReportAllocs()
		g := r.Clone(b.Context())
		g.Header.Set("Jacinthgate-Service", "rooms")
		for b.Loop() {
			d.gate.ServeHTTP(httptest.NewRecorder(), g)
		}
	})
}
