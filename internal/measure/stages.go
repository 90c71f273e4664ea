package measure

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Stage is the latency of one caller's calls that enter at one stage of the
// path. The stages are called in turn, so the difference of two neighbours is
// what the one in front costs.
type Stage struct {
	// Name is the stage.
	Name string `json:"name"`
	// P50 and P99 are in microseconds.
	P50 float64 `json:"p50Micros"`
	P99 float64 `json:"p99Micros"`
}

// stageCalls is the number of calls to each stage.
const stageCalls = 3000

// prober calls one stage.
type prober struct {
	name string
	url  string
	took []time.Duration
}

// stages measures one caller's calls to the backend server, to the gate in
// front of it and to the entry proxies.
func (r *requestRig) stages(ctx context.Context, c *model.Contract) ([]Stage, error) {
	server := r.servers[0]
	path := "/rooms/1/now"
	probers := []*prober{
		{name: "backend server", url: server.BackendURL() + path},
		{name: "gate", url: server.GateURL() + path},
		{name: "entry proxy", url: server.CallerURL() + path},
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for range stageCalls {
		for _, p := range probers {
			if err := p.call(ctx, client, c); err != nil {
				return nil, err
			}
		}
	}
	stages := make([]Stage, 0, len(probers))
	for _, p := range probers {
		t := times(p.took)
		stages = append(stages, Stage{Name: p.name, P50: 1000 * t.P50, P99: 1000 * t.P99})
	}
	return stages, nil
}

// call makes one call. The headers are those that an entry proxy sets; the
// entry proxy and the backend server ignore them.
func (p *prober) call(ctx context.Context, client *http.Client, c *model.Contract) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return err
	}
	req.Host = c.Hosts[0]
	req.Header.Set(outcome.HeaderService, c.Routes[0].Service)
	req.Header.Set(outcome.HeaderKind, string(c.Classes[0].Kind))
	req.Header.Set(outcome.HeaderDeadline, "1000")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // it was read to its end
	if err != nil {
		return err
	}
	p.took = append(p.took, time.Since(began))
	if resp.StatusCode != http.StatusOK {
		return &StatusError{URL: p.url, Status: resp.StatusCode}
	}
	return nil
}

// added returns what each stage adds to the one behind it.
func added(stages []Stage) []Stage {
	out := slices.Clone(stages)
	for i := len(out) - 1; i > 0; i-- {
		out[i].P50 -= out[i-1].P50
		out[i].P99 -= out[i-1].P99
	}
	return out
}
