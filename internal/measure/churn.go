package measure

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Churn is what a fleet used while nodes and backend servers came and went.
type Churn struct {
	Nodes int         `json:"nodes"`
	Zones int         `json:"zones"`
	Size  Size        `json:"size"`
	Load  string      `json:"load"`
	Idle  Usage       `json:"idle"`
	Steps []ChurnStep `json:"steps"`
}

// ChurnStep is one event.
type ChurnStep struct {
	Name string `json:"name"`
	// Usage is what was used until the step had ended.
	Usage Usage `json:"usage"`
	// Extra are the mean bytes that a node sent beyond idling.
	Extra float64 `json:"extraBytes"`
	// Last is the time from the acceptance of a change made within the step
	// until the last node that runs served with it, in milliseconds; 0 for
	// none.
	Last float64 `json:"lastMillis"`
	// Ready is the time until all nodes that came back served, in
	// milliseconds; 0 for none.
	Ready float64 `json:"readyMillis"`
}

// Times of the steps.
const (
	// serverGone is how long a backend server is away.
	serverGone = 5 * time.Second
	// nodesGone is how long killed nodes are away: they are found failed.
	nodesGone = 15 * time.Second
	// frozen is how long a zone is frozen.
	frozen = 10 * time.Second
	// shutdownTime is how long a node may take to end.
	shutdownTime = 10 * time.Second
	// tenth is the part of the nodes that fail or restart together.
	tenth = 10
)

// RunChurn measures one fleet. Only servers come and go unless whole is set.
func RunChurn(ctx context.Context, o Options, whole bool) (*Churn, error) {
	c := &Churn{Nodes: o.Nodes, Zones: o.Zones, Size: o.Size, Load: loadAverage()}
	r, err := newRig(ctx, o)
	defer r.stop()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, settle); err != nil {
		return nil, err
	}
	if c.Idle, err = r.watch(func() error { return sleep(ctx, o.Idle) }); err != nil {
		return nil, err
	}
	steps := []func(context.Context, *ChurnStep) error{r.serverComesAndGoes}
	if whole {
		steps = append(steps, r.killTenth, r.restartTenth, r.freezeZone, r.rollingRestart)
	}
	for _, step := range steps {
		var s ChurnStep
		if s.Usage, err = r.watch(func() error { return step(ctx, &s) }); err != nil {
			return nil, err
		}
		s.Extra = s.Usage.Bytes - c.Idle.BytesPerSecond*s.Usage.Seconds
		c.Steps = append(c.Steps, s)
	}
	return c, nil
}

// serverComesAndGoes ends the first backend server and starts it again.
func (r *rig) serverComesAndGoes(ctx context.Context, s *ChurnStep) error {
	s.Name = "one backend server goes and comes back"
	m := r.fleet.Members[0]
	m.KillBackend()
	if err := sleep(ctx, serverGone); err != nil {
		return err
	}
	if err := m.StartBackend(); err != nil {
		return err
	}
	return sleep(ctx, serverGone)
}

// some returns every tenth member, from the given one on.
func (r *rig) some(first int) []*fleet.Member {
	var some []*fleet.Member
	for i := first; i < len(r.fleet.Members); i += tenth {
		some = append(some, r.fleet.Members[i])
	}
	return some
}

// killTenth kills a tenth of the nodes and changes a contract at once.
func (r *rig) killTenth(ctx context.Context, s *ChurnStep) error {
	s.Name = "a tenth of the nodes is killed, a contract changes"
	for _, m := range r.some(1) {
		m.KillNode()
	}
	if err := r.changeNow(ctx, s); err != nil {
		return err
	}
	return sleep(ctx, nodesGone)
}

// changeNow changes a contract and waits until all nodes that run serve with it.
func (r *rig) changeNow(ctx context.Context, s *ChurnStep) error {
	from := time.Now()
	v, err := r.change(ctx)
	if err != nil {
		return err
	}
	at, err := r.converged(ctx, v, from)
	if err != nil {
		return err
	}
	accepted, err := r.accepted(ctx)
	if err != nil {
		return err
	}
	r.seen = v
	for _, t := range at {
		s.Last = max(s.Last, millis(t.Sub(accepted[v])))
	}
	return nil
}

// restartTenth brings the killed nodes back.
func (r *rig) restartTenth(ctx context.Context, s *ChurnStep) error {
	s.Name = "the killed tenth comes back"
	began := time.Now()
	if err := r.startAll(r.some(1)); err != nil {
		return err
	}
	if err := r.allServe(ctx, r.some(1), began, s); err != nil {
		return err
	}
	return sleep(ctx, nodesGone)
}

func (r *rig) startAll(members []*fleet.Member) error {
	for _, m := range members {
		if err := m.StartNode(); err != nil {
			return err
		}
	}
	return nil
}

// allServe waits until the members serve with the newest version.
func (r *rig) allServe(ctx context.Context, members []*fleet.Member, began time.Time, s *ChurnStep) error {
	err := await(ctx, "restarted nodes serve", func() bool {
		for _, m := range members {
			all, err := readApplied(r.log(m))
			if err != nil {
				return false
			}
			when, ok := holds(all, r.seen, began)
			if !ok {
				return false
			}
			s.Ready = max(s.Ready, millis(when.Sub(began)))
		}
		return true
	})
	return err
}

// freezeZone stops all processes of a zone for some time, lets them go on, and
// changes a contract at once.
func (r *rig) freezeZone(ctx context.Context, s *ChurnStep) error {
	s.Name = "a zone is frozen for 10 s, goes on, a contract changes"
	zone := r.fleet.Members[len(r.fleet.Members)-1].Zone
	if err := r.eachOf(zone, (*fleet.Member).FreezeNode); err != nil {
		return err
	}
	if err := sleep(ctx, frozen); err != nil {
		return err
	}
	if err := r.eachOf(zone, (*fleet.Member).ThawNode); err != nil {
		return err
	}
	if err := r.changeNow(ctx, s); err != nil {
		return err
	}
	return sleep(ctx, frozen)
}

func (r *rig) eachOf(zone model.Zone, f func(*fleet.Member) error) error {
	for _, m := range r.fleet.Members {
		if m.Zone != zone {
			continue
		}
		if err := f(m); err != nil {
			return err
		}
	}
	return nil
}

// rollingRestart restarts all nodes gracefully, a tenth at a time.
func (r *rig) rollingRestart(ctx context.Context, s *ChurnStep) error {
	s.Name = "rolling restart, a tenth at a time"
	for first := range tenth {
		members := r.some(first)
		ended := make(chan struct{}, len(members))
		for _, m := range members {
			go func() {
				m.TerminateNode(shutdownTime)
				ended <- struct{}{}
			}()
		}
		for range members {
			<-ended
		}
		began := time.Now()
		if err := r.startAll(members); err != nil {
			return err
		}
		if err := r.allServe(ctx, members, began, s); err != nil {
			return err
		}
	}
	return nil
}
