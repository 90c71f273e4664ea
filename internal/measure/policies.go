package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Policies is what was measured of the policies under load.
type Policies struct {
	Deployment string `json:"deployment"`
	// Capacity is the backend servers' capacity in calls per second.
	Capacity float64  `json:"capacity"`
	Trials   []*Trial `json:"trials"`
}

// Trial is one load with one fault, through the mesh and then by callers that
// take the backend servers in turn themselves.
type Trial struct {
	// Name is the fault or the kind of load, Offered the load as a part of the
	// capacity.
	Name    string  `json:"name"`
	Offered float64 `json:"offered"`
	// Load is the machine's load average after the trial.
	Load         string `json:"load"`
	Mesh, Direct []load.Cell
	// MeshSeconds and DirectSeconds are the lengths of the runs.
	MeshSeconds, DirectSeconds float64
	// MeshLate and DirectLate are how late the tool sent, p99 in microseconds.
	MeshLate, DirectLate float64

	classes []load.Class
	fault   func() error
	mend    func() error
}

// bench is a fleet with the contracts of the trials.
type bench struct {
	*requestRig
	capacity               float64
	screens, flood, capped *model.Contract
}

// cappedPart is the limit of the organisation that floods, as a part of the
// capacity.
const cappedPart = 0.7

// RunPolicies measures overload, an organisation that floods, and faulty backend
// servers.
func RunPolicies(ctx context.Context, o RequestOptions) (*Policies, error) {
	b := &bench{}
	slots := 0
	for _, h := range o.Deployment.Hosts() {
		if h.Service == o.Deployment.Service {
			slots += h.Slots
		}
	}
	b.capacity = float64(slots) * 1000 / o.ServiceMillis
	b.screens = requestContract("screens", o.Deployment.Service, unlimited)
	b.flood = requestContract("flood", o.Deployment.Service, unlimited)
	b.capped = requestContract("capped", o.Deployment.Service, cappedPart*b.capacity)
	var err error
	b.requestRig, err = newRequestRig(ctx, o, []*model.Contract{b.screens, b.flood, b.capped})
	defer b.stop()
	if err != nil {
		return nil, err
	}
	result := &Policies{Deployment: o.Deployment.Name, Capacity: b.capacity, Trials: b.trials()}
	for _, t := range result.Trials {
		if err := b.try(ctx, t); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// trials returns all trials.
func (b *bench) trials() []*Trial {
	const part = 0.6
	one := b.servers[0]
	all := []*Trial{}
	for _, offered := range []float64{0.5, 1, 1.5, 3} {
		all = append(all, b.trial("overload", offered))
	}
	steady := b.class(b.screens, 0.2*b.capacity)
	for _, other := range []*model.Contract{b.flood, b.capped} {
		t := &Trial{Name: other.Organisation, Offered: 3.2}
		t.classes = []load.Class{steady, b.class(other, 3*b.capacity)}
		all = append(all, t)
	}
	faults := []struct {
		name   string
		faults backend.Faults
	}{
		{"one server 8 times slower", backend.Faults{ServiceMillis: 8 * b.opts.ServiceMillis}},
		{"one server sheds all and reports idle", backend.Faults{ServiceMillis: b.opts.ServiceMillis, ShedAll: true}},
		{"one server breaks its answers off", backend.Faults{ServiceMillis: 1, TruncateAnswers: true}},
		{"one server cold, one slot in ten", backend.Faults{ServiceMillis: b.opts.ServiceMillis, ColdStartMillis: coldMillis}},
	}
	all = append(all, b.trial("healthy", part))
	for _, f := range faults {
		t := b.trial(f.name, part)
		t.fault = func() error { return setFaults(one, f.faults) }
		t.mend = func() error { return setFaults(one, backend.Faults{ServiceMillis: b.opts.ServiceMillis}) }
		all = append(all, t)
	}
	// Offered is below what the other zones' servers can take.
	t := b.trial("the servers of one zone die", 0.4)
	t.fault, t.mend = b.killZone, b.startZone
	return append(all, t)
}

// coldMillis is so long that the server has the fewest slots for the whole
// trial.
const coldMillis = 3_600_000

func (b *bench) trial(name string, offered float64) *Trial {
	return &Trial{Name: name, Offered: offered, classes: []load.Class{b.class(b.screens, offered*b.capacity)}}
}

// try runs a trial. The fault begins at a quarter of each run.
func (b *bench) try(ctx context.Context, t *Trial) error {
	mesh, err := b.arm(ctx, t, b.mesh())
	if err != nil {
		return err
	}
	direct, err := b.arm(ctx, t, b.direct())
	if err != nil {
		return err
	}
	t.Load = loadAverage()
	t.Mesh, t.MeshSeconds, t.MeshLate = mesh.Cells, mesh.Elapsed, mesh.LagP99
	t.Direct, t.DirectSeconds, t.DirectLate = direct.Cells, direct.Elapsed, direct.LagP99
	return nil
}

// rest lies between two runs, so that what one left behind has gone.
const rest = 5 * time.Second

func (b *bench) arm(ctx context.Context, t *Trial, arms []load.Arm) (load.Result, error) {
	began := make(chan error, 1)
	if t.fault != nil {
		time.AfterFunc(b.opts.Length/4, func() { began <- t.fault() })
	} else {
		began <- nil
	}
	result, err := load.Run(ctx, b.plan(b.opts.Length, t.classes), arms)
	if ferr := <-began; err == nil {
		err = ferr
	}
	if t.mend != nil {
		if merr := t.mend(); err == nil {
			err = merr
		}
	}
	if err != nil {
		return result, err
	}
	return result, sleep(ctx, rest)
}

// zoneServers are the backend servers of the first zone.
func (b *bench) zoneServers() []*fleet.Member {
	var out []*fleet.Member
	for _, m := range b.servers {
		if m.Zone == b.servers[0].Zone {
			out = append(out, m)
		}
	}
	return out
}

func (b *bench) killZone() error {
	for _, m := range b.zoneServers() {
		m.KillBackend()
	}
	return nil
}

func (b *bench) startZone() error {
	for _, m := range b.zoneServers() {
		if err := m.StartBackend(); err != nil {
			return err
		}
	}
	return nil
}

// setFaults gives faults to a host's backend server.
func setFaults(m *fleet.Member, f backend.Faults) error {
	raw, err := json.Marshal(f)
	if err != nil {
		return err
	}
	url := m.BackendURL() + "/faults"
	resp, err := scrapeClient.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{URL: url, Status: resp.StatusCode}
	}
	return nil
}
