// Command jacinthgate-soak plays seeded disturbances to a site of real processes
// on this machine and checks the product's promises. It is a tool for developers
// and CI; docs/SOAK.md tells how to use it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/jacinthgate/jacinthgate/internal/soak"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

const program = "jacinthgate-soak"

func main() {
	cdr := subcommands.NewCommander(flag.CommandLine, program)
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&runCmd{}, "")
	cdr.Register(&planCmd{}, "")
	cdr.Register(&version.Command{Program: program}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(cdr.Execute(ctx)))
}

// planFlags choose a plan.
type planFlags struct {
	seed   uint64
	nodes  int
	length time.Duration
	// planned leaves out all but planned work, crashes all but what is around backend
	// servers that crash, restores all but what is around a store that comes back from
	// older copies.
	planned, crashes, restores bool
	// together plays backend servers that crash at the same moment beside one popular request.
	together bool
	// keys lets callers show keys, which come and go, and an organisation flood.
	keys bool
	// places plays evacuations of zones, and backend servers that are cold after a start.
	places bool
	// series leaves out all but planned work in series and faults of the store.
	series bool
	// ahead lets callers send several requests behind one another, beside answers that break
	// off; with planned beside planned work only.
	ahead bool
	// habits plays callers that use their connections in different ways; with planned beside
	// planned work only.
	habits bool
	// statements plays backend servers that state limits, and that they leave, in their answers.
	statements bool
	// silences plays versions in series while connections fall silent, leaving goodbyes while the
	// store is away and nodes are killed.
	silences, leaving, forgotten bool
}

func (c *planFlags) set(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 0, "seed of the first plan; 0 takes one from the clock")
	f.IntVar(&c.nodes, "nodes", 6, "number of nodes")
	f.DurationVar(&c.length, "length", 20*time.Second, "time in which disturbances begin")
	f.BoolVar(&c.planned, "planned", false, "planned work only")
	f.BoolVar(&c.keys, "keys", false, "callers show keys that come and go, and an organisation floods")
	f.BoolVar(&c.places, "places", false, "backend servers that are cold after a start, and evacuations of zones")
	f.BoolVar(&c.series, "series", false, "planned work in series that overlap, beside faults of the store")
	f.BoolVar(&c.ahead, "ahead", false, "several requests behind one another, slow answers, versions in series, and answers that break off (not with -planned)")
	f.BoolVar(&c.habits, "habits", false, "callers that use their connections in different ways, planned work in series, and faults of backend servers (not with -planned)")
	f.BoolVar(&c.statements, "statements", false, "backend servers that state limits, and that they leave, in their answers")
	f.BoolVar(&c.silences, "silences", false, "versions in series while all open connections fall silent")
	f.BoolVar(&c.forgotten, "forgotten", false, "goodbyes after which all nodes are killed while the store is away")
	f.BoolVar(&c.leaving, "leaving", false, "goodbyes while the store is away, nodes that are killed, and heartbeats of other writers")
	f.BoolVar(&c.crashes, "crashes", false, "backend servers that crash and return, and requests that end them")
	f.BoolVar(&c.together, "together", false, "backend servers that crash at the same moment beside one popular request, after which all nodes are killed")
	f.BoolVar(&c.restores, "restores", false, "a store that comes back from older copies")
}

// plan returns the plan of a seed.
func (c *planFlags) plan(seed uint64) soak.Plan {
	switch {
	case c.silences:
		return soak.NewSilencePlan(seed, c.nodes, c.length)
	case c.forgotten:
		return soak.NewForgottenPlan(seed, c.nodes, c.length)
	case c.leaving:
		return soak.NewLeavingPlan(seed, c.nodes, c.length)
	case c.statements:
		return soak.NewStatementPlan(seed, c.nodes, c.length)
	case c.habits:
		return soak.NewHabitPlan(seed, c.nodes, c.length, !c.planned)
	case c.ahead:
		return soak.NewAheadPlan(seed, c.nodes, c.length, !c.planned)
	case c.planned:
		return soak.NewPlannedPlan(seed, c.nodes, c.length)
	case c.series:
		return soak.NewSeriesPlan(seed, c.nodes, c.length)
	case c.keys:
		return soak.NewKeyPlan(seed, c.nodes, c.length)
	case c.places:
		return soak.NewEvacuationPlan(seed, c.nodes, c.length)
	case c.together:
		return soak.NewTogetherPlan(seed, c.nodes, c.length)
	case c.crashes:
		return soak.NewCrashPlan(seed, c.nodes, c.length)
	case c.restores:
		return soak.NewRestorePlan(seed, c.nodes, c.length)
	}
	return soak.NewPlan(seed, c.nodes, c.length)
}

// first returns the seed of the first plan.
func (c *planFlags) first() uint64 {
	if c.seed != 0 {
		return c.seed
	}
	return uint64(time.Now().UnixMilli())
}

// planCmd prints a plan.
type planCmd struct{ planFlags }

func (*planCmd) Name() string     { return "plan" }
func (*planCmd) Synopsis() string { return "print the disturbances of a seed" }
func (*planCmd) Usage() string {
	return "plan -seed N [-nodes N] [-length D] [-planned | -ahead | -habits | -series | -crashes | -together | -restores | -keys | -places | -statements | -silences | -leaving | -forgotten]\n"
}
func (c *planCmd) SetFlags(f *flag.FlagSet) { c.set(f) }

func (c *planCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(c.plan(c.first()))
	return subcommands.ExitSuccess
}

// runCmd plays plans.
type runCmd struct {
	planFlags
	seeds   int
	callers int
	share   float64
	keep    bool
	bin     string
	dir     string
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "play seeds and check the promises" }
func (*runCmd) Usage() string {
	return `run [-seed N] [-seeds N] [-nodes N] [-length D] [-planned | -ahead | -habits | -series | -crashes | -together | -restores | -keys | -places | -statements | -silences | -leaving | -forgotten] [-bin DIR] [-dir DIR]
Plays one seed after the other. A seed that breaks a promise is printed with what
was seen, and its logs stay in DIR/SEED. Exit code 1 if any did.
`
}

func (c *runCmd) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds, counted up from the first")
	f.IntVar(&c.callers, "callers", soak.CallersPerNode, "number of callers beside each node")
	f.Float64Var(&c.share, "share", 0, "part of a core that each node may use in each tenth of a second; 0 is no bound")
	f.BoolVar(&c.keep, "keep", false, "keep the logs of seeds that broke no promise too")
	f.StringVar(&c.bin, "bin", "bin", "`folder` with the programs")
	f.StringVar(&c.dir, "dir", "", "`folder` for settings and logs; empty takes one that is removed when nothing broke")
}

func (c *runCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	first := c.first()
	for i := range uint64(c.seeds) {
		broken, err := c.play(ctx, first+i)
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return subcommands.ExitFailure
		}
		if broken {
			status = subcommands.ExitFailure
		}
	}
	return status
}

// play plays one seed and reports whether a promise broke.
func (c *runCmd) play(ctx context.Context, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp(c.dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	bin, err := filepath.Abs(c.bin)
	if err != nil {
		return false, err
	}
	plan := c.plan(seed)
	r, err := soak.Run(ctx, soak.Config{Bin: bin, Dir: dir, Plan: plan, Callers: c.callers, Share: c.share})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d requests, %d served, %d arrivals, %d violations\n", seed, r.Requests, r.Served, r.Arrivals, len(r.Violations))
	if r.Periods > 0 {
		fmt.Printf("  %d of %d periods were cut short\n", r.Throttled, r.Periods)
	}
	switch {
	case len(r.Violations) == 0 && c.keep:
		fmt.Printf("  logs: %s\n", dir)
		return false, nil
	case len(r.Violations) == 0:
		return false, os.RemoveAll(dir)
	}
	for _, v := range r.Violations {
		fmt.Printf("  %s: %s\n", v.Check, v.Detail)
	}
	fmt.Printf("  plan: %s\n  logs: %s\n", plan, dir)
	return true, nil
}
