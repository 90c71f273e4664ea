package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Requests is what was measured of the path of a request in one deployment.
type Requests struct {
	Deployment string        `json:"deployment"`
	Nodes      int           `json:"nodes"`
	Steps      []RequestStep `json:"steps"`
	Stages     []Stage       `json:"stages"`
}

// RequestStep is one offered load, half of it through the mesh and half
// directly, in turn.
type RequestStep struct {
	// Name says what was offered.
	Name string `json:"name"`
	// Load is the machine's load average at the end.
	Load string `json:"load"`
	// Mesh and Direct are the two arms.
	Mesh   load.Cell `json:"mesh"`
	Direct load.Cell `json:"direct"`
	// PerSecond is the number of answered calls through the mesh.
	PerSecond float64 `json:"perSecond"`
	// ProcessorMicros is the processor time of all node processes for each
	// call through the mesh, in microseconds, less what they use when idle.
	ProcessorMicros float64 `json:"processorMicros"`
	// LateMicros is how late the tool itself sent, p99.
	LateMicros float64 `json:"lateMicros"`
}

// RunRequests measures the latency that the mesh adds to direct calls, at
// several rates, and what each stage of a call takes.
func RunRequests(ctx context.Context, o RequestOptions) (*Requests, error) {
	contract := requestContract("bench", o.Deployment.Service, unlimited)
	r, err := newRequestRig(ctx, o, []*model.Contract{contract})
	defer r.stop()
	if err != nil {
		return nil, err
	}
	result := &Requests{Deployment: o.Deployment.Name, Nodes: len(r.fleet.Members)}
	idle, err := r.idle(ctx)
	if err != nil {
		return nil, err
	}
	for _, rate := range o.Rates {
		total := float64(2 * rate * result.Nodes)
		p := r.plan(o.Length, []load.Class{r.class(contract, total)})
		step, err := r.step(ctx, fmt.Sprintf("%d calls/s a node", rate), p, idle)
		if err != nil {
			return nil, err
		}
		result.Steps = append(result.Steps, step)
	}
	step, err := r.step(ctx, fmt.Sprintf("%d callers without a pause", o.Callers), r.closed(contract), idle)
	if err != nil {
		return nil, err
	}
	result.Steps = append(result.Steps, step)
	result.Stages, err = r.stages(ctx, contract)
	return result, err
}

// closed returns the load of callers that each send after an answer.
func (r *requestRig) closed(c *model.Contract) load.Plan {
	p := r.plan(r.opts.Length, []load.Class{r.class(c, 1)})
	p.Loop = load.LoopClosed
	p.Workers = r.opts.Callers
	return p
}

// idleTime is how long the idle fleet is watched.
const idleTime = 5 * time.Second

// idle returns the part of a core that all nodes use together when idle.
func (r *requestRig) idle(ctx context.Context) (float64, error) {
	before, err := r.processors()
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, idleTime); err != nil {
		return 0, err
	}
	after, err := r.processors()
	return (after - before) / idleTime.Seconds(), err
}

// step runs one load over both arms.
func (r *requestRig) step(ctx context.Context, name string, p load.Plan, idle float64) (RequestStep, error) {
	before, err := r.processors()
	if err != nil {
		return RequestStep{}, err
	}
	result, err := load.Run(ctx, p, append(r.mesh(), r.direct()...))
	if err != nil {
		return RequestStep{}, err
	}
	after, err := r.processors()
	mesh := result.Cells[0]
	answered := float64(mesh.Labels[load.LabelAnswered])
	used := after - before - idle*result.Elapsed
	return RequestStep{
		Name:            name,
		Load:            loadAverage(),
		Mesh:            mesh,
		Direct:          result.Cells[1],
		PerSecond:       answered / result.Elapsed,
		ProcessorMicros: 1e6 * used / max(1, answered),
		LateMicros:      result.LagP99,
	}, err
}
