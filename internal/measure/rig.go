package measure

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Options say where and what is measured.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory for settings and logs of the fleets.
	Dir string
	// Nodes and Zones are the size of the fleet.
	Nodes, Zones int
	// Size is the size of the configuration.
	Size Size
	// Changes is the number of changes, one after the other, and Burst the
	// number of those sent at once.
	Changes, Burst int
	// Idle is how long the idle fleet is watched.
	Idle time.Duration
	// Backends is the number of hosts with a backend server.
	Backends int
	// Baseline adds as many plain pollers as there are nodes.
	Baseline bool
}

// Times of a measurement.
const (
	// startTimeout bounds the start of a process while many start at once.
	startTimeout = 2 * time.Minute
	// waitTimeout bounds each wait for the fleet.
	waitTimeout = 2 * time.Minute
	// settle is how long a fleet runs before it counts as idle.
	settle = 20 * time.Second
	// pause lies between two changes.
	pause = time.Second
	// look is the time between two looks at what is waited for.
	look = 50 * time.Millisecond
)

// zones are the zones of two regions.
var zones = []model.Zone{"a1", "b1", "a2", "b2", "a3", "b3", "a4"}

// rig is a fleet that is measured.
type rig struct {
	opts  Options
	fleet *fleet.Fleet
	// changes counts the changes sent so far; it makes their ids.
	changes int
	// revisions are the contracts' revisions.
	revisions map[string]uint64
	// seen is the version that is held everywhere.
	seen uint64
}

// newRig starts a fleet and brings the first version into force. stop must be
// called, also after an error.
func newRig(ctx context.Context, o Options) (*rig, error) {
	cfg := fleet.DefaultConfig(o.Bin, o.Dir)
	cfg.StartTimeout = startTimeout
	cfg.Hosts = fleet.Spread(o.Nodes, zones[:o.Zones]...)
	for i := range min(o.Backends, len(cfg.Hosts)) {
		h := &cfg.Hosts[i]
		h.Service, h.Slots, h.Connections, h.ServiceMillis = o.Size.service(i), 10, 110, 2
	}
	f, err := fleet.Start(cfg)
	r := &rig{opts: o, fleet: f, revisions: make(map[string]uint64)}
	if err != nil {
		return r, err
	}
	return r, r.load(ctx)
}

func (r *rig) stop() { r.fleet.Stop() }

// contractsInChange is the number of contracts of one of the first changes; the
// operators' interface bounds the size of a request.
const contractsInChange = 500

// load sends the whole configuration in as few changes as their size allows.
func (r *rig) load(ctx context.Context) error {
	all := r.opts.Size.batch()
	services := all.Services
	for chunk := range slices.Chunk(all.Contracts, contractsInChange) {
		b := model.Batch{Services: services, Contracts: chunk}
		services = nil
		resp, err := r.apply(ctx, r.fleet.Members[0], b, nil)
		if err != nil {
			return err
		}
		for _, c := range chunk {
			r.revisions[c.Organisation] = resp.Version
		}
		if err := r.inForce(ctx, resp.Version); err != nil {
			return err
		}
	}
	return nil
}

// apply sends one change to a node.
func (r *rig) apply(ctx context.Context, m *fleet.Member, b model.Batch, base map[string]uint64) (*operator.ApplyResponse, error) {
	r.changes++
	req := &operator.ApplyRequest{ChangeID: changeID(r.changes), Batch: b, Base: base}
	return m.Operator().Apply(ctx, req)
}

func changeID(n int) string { return fmt.Sprintf("01234567-89ab-cdef-0123-%012d", n) }

// change changes the weight of one contract, through one of the nodes that run.
func (r *rig) change(ctx context.Context) (uint64, error) {
	i := r.changes % r.opts.Size.Contracts
	name := organisation(i)
	c := r.opts.Size.contract(i, 1+(r.changes+1)%1000)
	base := map[string]uint64{"contract/" + name: r.revisions[name]}
	resp, err := r.apply(ctx, r.operator(), model.Batch{Contracts: []*model.Contract{c}}, base)
	if err != nil {
		return 0, err
	}
	r.revisions[name] = resp.Version
	return resp.Version, nil
}

// operator returns a node that runs; changes take the nodes in turn.
func (r *rig) operator() *fleet.Member {
	members := r.fleet.Members
	for i := range members {
		if m := members[(r.changes*7+i)%len(members)]; m.Alive() {
			return m
		}
	}
	return members[0]
}

// inForce waits until all live nodes report to hold a version.
func (r *rig) inForce(ctx context.Context, version uint64) error {
	what := fmt.Sprintf("version %d in force", version)
	return await(ctx, what, func() bool {
		p, err := r.operator().Operator().Progress(ctx, version, time.Second)
		return err == nil && p.InForce
	})
}

// converged waits until every node that runs serves with a version, as its log
// tells, and returns when each one did.
func (r *rig) converged(ctx context.Context, version uint64, from time.Time) (map[model.NodeID]time.Time, error) {
	at := make(map[model.NodeID]time.Time)
	err := await(ctx, fmt.Sprintf("version %d on all nodes", version), func() bool {
		for _, m := range r.fleet.Members {
			if _, known := at[m.Node]; known || !m.Alive() {
				continue
			}
			all, err := readApplied(r.log(m))
			if err != nil {
				return false
			}
			when, ok := holds(all, version, from)
			if !ok {
				return false
			}
			at[m.Node] = when
		}
		return true
	})
	return at, err
}

func (r *rig) log(m *fleet.Member) string {
	return filepath.Join(r.opts.Dir, string(m.Node)+".log")
}

// accepted returns when each version was accepted. The accepter takes the time
// before it stores the version, so times counted from it are upper bounds.
func (r *rig) accepted(ctx context.Context) (map[uint64]time.Time, error) {
	h, err := r.operator().Operator().History(ctx, "", 0)
	if err != nil {
		return nil, err
	}
	at := make(map[uint64]time.Time)
	for _, e := range h.Entries {
		at[e.Version] = e.Accepted
	}
	return at, nil
}

// watch measures what the fleet uses while f runs.
func (r *rig) watch(f func() error) (Usage, error) {
	before, err := read(r.fleet)
	if err != nil {
		return Usage{}, err
	}
	if err := f(); err != nil {
		return Usage{}, err
	}
	after, err := read(r.fleet)
	if err != nil {
		return Usage{}, err
	}
	return use(before, after), nil
}

// await waits until done is true.
func await(ctx context.Context, what string, done func() bool) error {
	end := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(end) {
			return &TimeoutError{What: what, After: waitTimeout}
		}
		if err := sleep(ctx, look); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits, or returns the error of a ctx that ended first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
