// Package demo shows the main job on embedded stand-ins: a fleet of real
// processes at the Room Signage sizes gets its contracts, serves load, loses a
// server and a node, and takes a change, while the callers' promises are
// checked.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/internal/load"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config configures a demonstration.
type Config struct {
	// Bin is the directory of the binaries.
	Bin string
	// Documents is the directory of the contracts and services.
	Documents string
	// Load is how long load is served.
	Load time.Duration
	// Out gets the report.
	Out io.Writer
}

// BrokenError reports that the demonstration saw a promise broken.
type BrokenError struct {
	// What says which.
	What string
}

// Error implements error.
func (e *BrokenError) Error() string { return "promise broken: " + e.What }

// show is one demonstration.
type show struct {
	cfg   Config
	fleet *fleet.Fleet
	docs  model.Batch
	start time.Time
}

// Run runs the demonstration and stops everything that it started. It returns a
// *BrokenError when a promise broke.
func Run(ctx context.Context, cfg Config) error {
	docs, err := readDocuments(cfg.Documents)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "jacinthgate-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fc := fleet.DefaultConfig(cfg.Bin, dir)
	fc.Hosts = fleet.RoomSignage()
	fc.Older = true
	s := &show{cfg: cfg, docs: docs, start: time.Now()}
	s.say("starting %d nodes in 3 availability zones, their backend servers and the platform's stand-in", len(fc.Hosts))
	s.fleet, err = fleet.Start(fc)
	defer s.fleet.Stop()
	if err != nil {
		return err
	}
	return s.run(ctx)
}

func (s *show) say(format string, args ...any) {
	elapsed := time.Since(s.start).Seconds()
	fmt.Fprintf(s.cfg.Out, "%5.1fs  %s\n", elapsed, fmt.Sprintf(format, args...))
}

func (s *show) run(ctx context.Context) error {
	if err := s.firstContracts(ctx); err != nil {
		return err
	}
	result := make(chan loadEnd, 1)
	go func() { result <- s.serveLoad(ctx) }()
	events := []func(context.Context) error{s.drainServer, s.killNode, s.changeContract, s.returnNode}
	var failed error
	for _, event := range events {
		time.Sleep(s.cfg.Load / time.Duration(2*len(events)))
		if failed == nil {
			failed = event(ctx)
		}
	}
	end := <-result
	if failed != nil {
		return failed
	}
	return s.report(end)
}

type loadEnd struct {
	result load.Result
	err    error
}

// serveLoad offers the contracts' load to the entry proxies of all hosts but the
// one that is going to be killed.
func (s *show) serveLoad(ctx context.Context) loadEnd {
	arm := load.Arm{Name: load.ArmMesh}
	var backends []string
	for _, m := range s.fleet.Members {
		backends = append(backends, address(m.BackendURL()))
		if m != s.victim() {
			arm.Addresses = append(arm.Addresses, address(m.CallerURL()))
		}
	}
	r, err := load.Run(ctx, planOf(s.docs, s.cfg.Load), []load.Arm{arm})
	if err != nil {
		return loadEnd{err: err}
	}
	runs, err := load.ReadRuns(ctx, backends)
	r.CheckRuns(runs)
	return loadEnd{result: r, err: err}
}

// drained and victim are the hosts that events happen to.
func (s *show) drained() *fleet.Member { return s.fleet.Members[0] }
func (s *show) victim() *fleet.Member  { return s.fleet.Members[4] }
func (s *show) asked() *fleet.Member   { return s.fleet.Members[1] }

// report prints the result and names a broken promise.
func (s *show) report(end loadEnd) error {
	if end.err != nil {
		return end.err
	}
	fmt.Fprintln(s.cfg.Out)
	if err := end.result.Write(s.cfg.Out); err != nil {
		return err
	}
	if end.result.Broken() {
		return &BrokenError{What: fmt.Sprint(end.result.Violations)}
	}
	s.say("all promises held; stopping every process")
	return nil
}

// readDocuments reads all documents below a directory as one change.
func readDocuments(dir string) (model.Batch, error) {
	var all model.Batch
	files, err := filepath.Glob(filepath.Join(dir, "*", "*.json"))
	if err != nil {
		return all, err
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return all, err
		}
		b, err := model.ParseDocument(raw)
		if err != nil {
			return all, err
		}
		all.Contracts = append(all.Contracts, b.Contracts...)
		all.Services = append(all.Services, b.Services...)
	}
	return all, nil
}
