package measure

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Deployment is one of the deployments whose sizes are measured.
type Deployment struct {
	// Name is the name in tables.
	Name string
	// Hosts returns its hosts.
	Hosts func() []fleet.Host
	// Service is the service that is called.
	Service string
}

// Deployments are the two deployments of today.
var Deployments = []Deployment{
	{Name: "room-signage", Hosts: fleet.RoomSignage, Service: "foglalas"},
	{Name: "kalo-kit", Hosts: fleet.KaloKit, Service: "order-desk"},
}

// RequestOptions say how the path of a request is measured.
type RequestOptions struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory for settings and logs of the fleet.
	Dir string
	// Deployment is what is started.
	Deployment Deployment
	// ServiceMillis is the time a backend server takes, in milliseconds.
	ServiceMillis float64
	// Length is the length of each step.
	Length time.Duration
	// Rates are the calls per second and node of the steps.
	Rates []int
	// Callers is the number of callers of the step without a rate.
	Callers int
}

// unlimited is a rate or concurrency that no step reaches.
const unlimited = 1_000_000

// requestRig is a fleet that serves requests.
type requestRig struct {
	opts    RequestOptions
	fleet   *fleet.Fleet
	servers []*fleet.Member
}

// newRequestRig starts the fleet and waits until it serves. stop must be
// called, also after an error.
func newRequestRig(ctx context.Context, o RequestOptions, contracts []*model.Contract) (*requestRig, error) {
	cfg := fleet.DefaultConfig(o.Bin, o.Dir)
	cfg.StartTimeout = startTimeout
	cfg.Hosts = o.Deployment.Hosts()
	for i := range cfg.Hosts {
		cfg.Hosts[i].ServiceMillis = o.ServiceMillis
	}
	f, err := fleet.Start(cfg)
	r := &requestRig{opts: o, fleet: f}
	if err != nil {
		return r, err
	}
	for _, m := range f.Members {
		if m.Service == o.Deployment.Service {
			r.servers = append(r.servers, m)
		}
	}
	return r, r.configure(ctx, contracts)
}

func (r *requestRig) stop() { r.fleet.Stop() }

// configure applies the configuration and waits until every node serves.
func (r *requestRig) configure(ctx context.Context, contracts []*model.Contract) error {
	b := model.Batch{Contracts: contracts, Services: []*model.Service{{
		Name:        r.opts.Deployment.Service,
		SlowStart:   model.Duration(2 * time.Second),
		MaxEjected:  0.5,
		QueueLength: 10,
	}}}
	req := &operator.ApplyRequest{ChangeID: changeID(1), Batch: b}
	if _, err := r.fleet.Members[0].Operator().Apply(ctx, req); err != nil {
		return err
	}
	return await(ctx, "all nodes serve", func() bool { return r.serves(ctx, contracts[0]) })
}

// serves reports whether every node answers a call and holds all servers.
func (r *requestRig) serves(ctx context.Context, c *model.Contract) bool {
	p := r.plan(time.Second, []load.Class{r.class(c, 100)})
	p.Requests = 3 * len(r.fleet.Members)
	p.Arrivals = load.ArrivalsConstant
	result, err := load.Run(ctx, p, r.mesh())
	if err != nil || result.Cells[0].Labels[load.LabelAnswered] < p.Requests {
		return false
	}
	for _, m := range r.fleet.Members {
		s, err := m.Operator().Status(ctx)
		if err != nil || len(s.Nodes) < len(r.fleet.Members) || serving(s) < len(r.fleet.Members) {
			return false
		}
	}
	return true
}

func serving(s *operator.Status) int {
	sum := 0
	for _, e := range s.Endpoints {
		sum += e.Serving
	}
	return sum
}

func (r *requestRig) mesh() []load.Arm {
	arm := load.Arm{Name: load.ArmMesh}
	for _, m := range r.fleet.Members {
		arm.Addresses = append(arm.Addresses, m.CallerAddr())
	}
	return []load.Arm{arm}
}

func (r *requestRig) direct() []load.Arm {
	arm := load.Arm{Name: load.ArmDirect}
	for _, m := range r.servers {
		arm.Addresses = append(arm.Addresses, m.BackendAddr())
	}
	return []load.Arm{arm}
}

// plan returns an open loop of the classes.
func (r *requestRig) plan(length time.Duration, classes []load.Class) load.Plan {
	return load.Plan{
		Seed:     1,
		Loop:     load.LoopOpen,
		Arrivals: load.ArrivalsPoisson,
		Duration: model.Duration(length),
		Requests: load.MaxRequests,
		InFlight: 4000,
		Classes:  classes,
	}
}

// callDeadline is what a caller allows for one request.
const callDeadline = time.Second

// class returns the class that calls as a contract's organisation.
func (r *requestRig) class(c *model.Contract, rate float64) load.Class {
	return load.Class{
		Organisation: c.Organisation,
		Name:         c.Classes[0].Name,
		Host:         c.Hosts[0],
		Method:       "GET",
		Path:         "/rooms/{n}/now",
		Spread:       400,
		Rate:         rate,
		Deadline:     model.Duration(callDeadline),
	}
}

// requestContract returns a contract with one interactive class and the given
// rate per second.
func requestContract(organisation, service string, rate float64) *model.Contract {
	return &model.Contract{
		Organisation: organisation,
		Hosts:        []string{organisation + ".example"},
		HandledBy:    model.SystemMesh,
		Rate:         model.Rate{PerSecond: rate, Burst: max(1, int(rate/10))},
		Concurrency:  unlimited,
		Weight:       1,
		Classes: []model.Class{{
			Name:        "screen",
			Kind:        model.KindInteractive,
			Weight:      1,
			Deadline:    model.Duration(callDeadline),
			Repeatable:  true,
			RetryBudget: &model.RetryBudget{Ratio: 0.2, MinPerSecond: 10},
		}},
		Routes: []model.Route{{Name: "all", PathPrefix: "/", Service: service, Class: "screen"}},
	}
}

// processors returns what the processes of all nodes have used, in seconds of
// one core.
func (r *requestRig) processors() (float64, error) {
	sum := 0.0
	for _, m := range r.fleet.Members {
		p, err := readProcess(m.PID())
		if err != nil {
			return 0, err
		}
		sum += p.CPU
	}
	return sum, nil
}
