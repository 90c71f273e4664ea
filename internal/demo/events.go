package demo

import (
	"context"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Bounds of the demonstration.
const (
	// inForceBound is how long a change may take until it is in force.
	inForceBound = 8 * time.Second
	// drainBound is when a draining server must get no new work.
	drainBound = 3 * time.Second
	// pollPause is the time between two looks.
	pollPause = 5 * time.Millisecond
	// joinBound is how long a fresh fleet may take to know all its members.
	joinBound = 20 * time.Second
)

// firstContracts applies all documents and waits until they are in force.
func (s *show) firstContracts(ctx context.Context) error {
	if err := s.awaitMembers(ctx); err != nil {
		return err
	}
	took, version, err := s.apply(ctx, "demo-first", s.docs, nil)
	if err != nil {
		return err
	}
	s.say("version %d (%d contracts, %d services) in force on all nodes after %s",
		version, len(s.docs.Contracts), len(s.docs.Services), took)
	return s.awaitServers(ctx)
}

// awaitMembers waits until the asked node knows every member.
func (s *show) awaitMembers(ctx context.Context) error {
	return s.await(ctx, joinBound, "the fleet has not found all its members", func(st *operator.Status) bool {
		return len(st.Nodes) == len(s.fleet.Members) && len(st.Zones) == 3
	})
}

// awaitServers waits until the asked node knows every backend server.
func (s *show) awaitServers(ctx context.Context) error {
	return s.await(ctx, joinBound, "not all backend servers are known", func(st *operator.Status) bool {
		serving := 0
		for _, e := range st.Endpoints {
			serving += e.Serving
		}
		return serving == len(s.fleet.Members)
	})
}

// await looks at the asked node's status until ok, or names what did not come
// true within the bound.
func (s *show) await(ctx context.Context, bound time.Duration, what string, ok func(*operator.Status) bool) error {
	c := s.asked().Operator()
	end := time.Now().Add(bound)
	for time.Now().Before(end) {
		st, err := c.Status(ctx)
		if err == nil && ok(st) {
			return nil
		}
		time.Sleep(pollPause)
	}
	return &BrokenError{What: what}
}

// apply sends a change and measures the time from its acceptance until it is in
// force.
func (s *show) apply(ctx context.Context, id string, b model.Batch, base map[string]uint64) (time.Duration, uint64, error) {
	c := s.asked().Operator()
	resp, err := c.Apply(ctx, &operator.ApplyRequest{ChangeID: id, Batch: b, Base: base})
	if err != nil {
		return 0, 0, err
	}
	accepted := time.Now()
	for time.Since(accepted) < inForceBound {
		p, err := c.Progress(ctx, resp.Version, time.Second)
		if err == nil && p.InForce {
			return time.Since(accepted).Round(time.Millisecond), resp.Version, nil
		}
	}
	return 0, resp.Version, &BrokenError{What: "a change was not in force within " + inForceBound.String()}
}

// drainServer drains a backend server through another node and checks that it
// gets no new work.
func (s *show) drainServer(ctx context.Context) error {
	target := s.drained()
	req := &operator.DrainRequest{Node: target.Node, Drain: true}
	if err := s.asked().Operator().Drain(ctx, req); err != nil {
		return err
	}
	began := time.Now()
	s.say("draining the backend server of %s", target.Node)
	time.Sleep(drainBound)
	before, err := s.runsOf(ctx)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	after, err := s.runsOf(ctx)
	if err != nil {
		return err
	}
	if after != before {
		return &BrokenError{What: "a draining server got new work"}
	}
	s.say("it got no new work from %s after the drain on", time.Since(began.Add(time.Second)).Round(time.Second))
	return nil
}

// runsOf counts the requests that the drained server has run.
func (s *show) runsOf(ctx context.Context) (int, error) {
	runs, err := load.ReadRuns(ctx, []string{address(s.drained().BackendURL())})
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, n := range runs.ByID {
		sum += n
	}
	return sum, nil
}

// killNode ends a node at once.
func (s *show) killNode(context.Context) error {
	s.victim().KillNode()
	s.say("killed node %s", s.victim().Node)
	return nil
}

// changeContract changes a contract while the killed node is away.
func (s *show) changeContract(ctx context.Context) error {
	c := s.asked().Operator()
	name := s.docs.Contracts[0].Organisation
	docs, err := c.Documents(ctx, "contract", name)
	if err != nil {
		return err
	}
	changed := *docs.Documents[0].Contract
	changed.Weight++
	base := map[string]uint64{"contract/" + name: docs.Documents[0].Revision}
	before := s.controlBytes(ctx)
	took, version, err := s.apply(ctx, "demo-second", model.Batch{Contracts: []*model.Contract{&changed}}, base)
	if err != nil {
		return err
	}
	spent := s.controlBytes(ctx) - before
	s.say("version %d in force on all live nodes after %s; %.0f control bytes per node meanwhile",
		version, took, spent/float64(len(s.fleet.Members)-1))
	return nil
}

// returnNode starts the killed node again and waits until it is ready.
func (s *show) returnNode(ctx context.Context) error {
	began := time.Now()
	if err := s.victim().StartNode(); err != nil {
		return err
	}
	c := s.victim().Operator()
	for time.Since(began) < joinBound {
		st, err := c.Status(ctx)
		if err == nil && st.Ready {
			s.say("node %s is back and ready with version %d after %s",
				s.victim().Node, st.Held.Version, time.Since(began).Round(time.Millisecond))
			return nil
		}
		time.Sleep(pollPause)
	}
	return &BrokenError{What: "a node that returned did not get ready"}
}
